//! Fits, expectations and the formatting of reports.

use fleet_emulator::experiment::Fit;
use fleet_emulator::report::{Expectation, Outcome, Table, format_figure};
use fleet_emulator::scenario::{Axis, Bounds};
use std::collections::BTreeMap;

#[test]
fn a_fit_has_its_residual_deviation_and_the_residual_at_the_largest_value() {
    let exact = Fit::of(&[(1.0, 5.0), (2.0, 7.0), (4.0, 11.0)]).unwrap();
    assert!((exact.slope - 2.0).abs() < 1e-9 && (exact.intercept - 3.0).abs() < 1e-9, "{exact:?}");
    assert!(exact.residual_deviation < 1e-9 && exact.residual_at_largest_x.abs() < 1e-9, "{exact:?}");
    // The points have y = 0, 0, 3, 3 at x = 0, 1, 2, 3: the line is 1.2 x - 0.3 and the squared
    // residuals add up to 1.8.
    let fit = Fit::of(&[(0.0, 0.0), (1.0, 0.0), (2.0, 3.0), (3.0, 3.0)]).unwrap();
    assert!((fit.slope - 1.2).abs() < 1e-9 && (fit.intercept + 0.3).abs() < 1e-9, "{fit:?}");
    assert!((fit.residual_deviation - 0.9_f64.sqrt()).abs() < 1e-9, "{fit:?}");
    assert!((fit.slope_error - (0.9_f64 / 5.0).sqrt()).abs() < 1e-9, "{fit:?}");
    assert!((fit.residual_at_largest_x + 0.3).abs() < 1e-9, "{fit:?}");
    assert_eq!(
        Fit::of(&[(1.0, 1.0), (1.0, 2.0), (2.0, 3.0), (2.0, 4.0)]),
        None,
        "two different values are too few for a fit"
    );
}

#[test]
fn bounds_are_inclusive_and_reject_everything_beyond() {
    let bounds = Bounds { min: Some(1.0), max: Some(2.0) };
    assert!(bounds.contains(1.0) && bounds.contains(2.0));
    assert!(![0.999, 2.001, f64::NAN, f64::INFINITY].into_iter().any(|figure| bounds.contains(figure)));
    assert!(Bounds { min: None, max: Some(2.0) }.contains(-1e9));
}

#[test]
fn a_broken_expectation_says_what_was_expected() {
    let text = "name = \"n\"\nmode = \"hollow\"\n[expect]\na = { max = 1 }\n\
        b = { min = 1 }\nc = { min = 0, max = 9 }\n";
    let scenario = toml::from_str(text).unwrap();
    let figures = BTreeMap::from([("a".to_owned(), 1.5), ("c".to_owned(), 5.0)]);
    let expectations = Expectation::evaluate_all(&scenario, &Outcome { figures, tables: Vec::new() });
    let messages: Vec<_> = expectations.iter().map(Expectation::broken_message).collect();
    let expected = [
        Some("`a` is 1.500, expected 1 at most".to_owned()),
        Some("`b` was not measured, expected 1 at least".to_owned()),
        None,
    ];
    assert_eq!(messages, expected);
}

#[test]
fn figures_and_tables_are_formatted_for_markdown() {
    let written = [(0.0, "0"), (5016.0, "5016"), (0.123456, "0.1235"), (1234.56, "1235"), (-6.5, "-6.500")];
    for (figure, text) in written {
        assert_eq!(format_figure(figure), text);
    }
    let rows = vec![vec!["a|b".to_owned(), "2".to_owned()]];
    let table = Table { title: "T".into(), columns: vec!["x".into(), "y".into()], rows };
    let mut text = String::new();
    table.write_markdown(&mut text);
    assert_eq!(text, "\n## T\n\n| x | y |\n| --- | --- |\n| a\\|b | 2 |\n");
}

#[test]
fn values_of_a_sweep_are_parsed_as_toml_or_taken_as_strings() {
    let axis: Axis = "real.lists=push,1,2.5".parse().unwrap();
    assert_eq!(axis.key, "real.lists");
    let values = [toml::Value::String("push".into()), toml::Value::Integer(1), toml::Value::Float(2.5)];
    assert_eq!(axis.values, values);
}
