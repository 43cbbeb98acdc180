//! What a report makes of figures.

use fleet_emulator::experiment::Fit;
use fleet_emulator::report::{Expectation, Outcome, Table, number};
use fleet_emulator::scenario::{Axis, Bounds};
use std::collections::BTreeMap;

#[test]
fn a_line_is_found_with_its_spread_and_its_residual_at_the_largest() {
    let exact = Fit::of(&[(1.0, 5.0), (2.0, 7.0), (4.0, 11.0)]).unwrap();
    assert!((exact.slope - 2.0).abs() < 1e-9 && (exact.intercept - 3.0).abs() < 1e-9, "{exact:?}");
    assert!(exact.spread < 1e-9 && exact.last_residual.abs() < 1e-9, "{exact:?}");
    // y is 0, 0, 3 and 3 at x of 0, 1, 2 and 3: the line is 1.2 x - 0.3, the squares of the residuals add up to 1.8.
    let fit = Fit::of(&[(0.0, 0.0), (1.0, 0.0), (2.0, 3.0), (3.0, 3.0)]).unwrap();
    assert!((fit.slope - 1.2).abs() < 1e-9 && (fit.intercept + 0.3).abs() < 1e-9, "{fit:?}");
    assert!((fit.spread - 0.9_f64.sqrt()).abs() < 1e-9, "{fit:?}");
    assert!((fit.slope_error - (0.9_f64 / 5.0).sqrt()).abs() < 1e-9, "{fit:?}");
    assert!((fit.last_residual + 0.3).abs() < 1e-9, "{fit:?}");
    assert_eq!(Fit::of(&[(1.0, 1.0), (1.0, 2.0), (2.0, 3.0), (2.0, 4.0)]), None, "two sizes make no fit");
}

#[test]
fn bounds_belong_to_what_is_allowed_and_nothing_else_does() {
    let bounds = Bounds { min: Some(1.0), max: Some(2.0) };
    assert!(bounds.hold(1.0) && bounds.hold(2.0));
    assert!(![0.999, 2.001, f64::NAN, f64::INFINITY].into_iter().any(|figure| bounds.hold(figure)));
    assert!(Bounds { min: None, max: Some(2.0) }.hold(-1e9));
}

#[test]
fn a_promise_that_is_not_kept_says_what_was_expected() {
    let text = "name = \"n\"\nmode = \"hollow\"\n[expect]\na = { max = 1 }\nb = { min = 1 }\nc = { min = 0, max = 9 }\n";
    let scenario = toml::from_str(text).unwrap();
    let figures = BTreeMap::from([("a".to_owned(), 1.5), ("c".to_owned(), 5.0)]);
    let expectations = Expectation::all(&scenario, &Outcome { figures, tables: Vec::new() });
    let broken: Vec<_> = expectations.iter().map(Expectation::broken).collect();
    let expected = [
        Some("`a` is 1.500, expected 1 at most".to_owned()),
        Some("`b` was not measured, expected 1 at least".to_owned()),
        None,
    ];
    assert_eq!(broken, expected);
}

#[test]
fn figures_and_tables_are_written_for_people() {
    let written = [(0.0, "0"), (5016.0, "5016"), (0.123456, "0.1235"), (1234.56, "1235"), (-6.5, "-6.500")];
    for (figure, text) in written {
        assert_eq!(number(figure), text);
    }
    let rows = vec![vec!["a|b".to_owned(), "2".to_owned()]];
    let table = Table { title: "T".into(), columns: vec!["x".into(), "y".into()], rows };
    let mut text = String::new();
    table.write(&mut text);
    assert_eq!(text, "\n## T\n\n| x | y |\n| --- | --- |\n| a\\|b | 2 |\n");
}

#[test]
fn values_of_a_sweep_are_those_of_toml_or_strings() {
    let axis: Axis = "real.lists=push,1,2.5".parse().unwrap();
    assert_eq!(axis.key, "real.lists");
    let values = [toml::Value::String("push".into()), toml::Value::Integer(1), toml::Value::Float(2.5)];
    assert_eq!(axis.values, values);
}
