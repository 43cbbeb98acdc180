//! Scenarios: TOML files that say what is run, and what is expected of it.

use crate::{hollow, real};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;
use std::ops::Range;
use std::path::{Path, PathBuf};
use toml::{Table, Value};

/// What is run.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    pub name: String,
    pub mode: Mode,
    /// Seed of everything that is drawn at random.
    #[serde(default)]
    pub seed: u64,
    pub hollow: Option<hollow::Config>,
    pub real: Option<real::Config>,
    /// Bounds by the name of a figure.
    #[serde(default)]
    pub expect: BTreeMap<String, Bounds>,
}

/// What a scenario runs on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Mode {
    /// Virtual time, in one process.
    Hollow,
    /// Real processes on loopback.
    Real,
}

impl fmt::Display for Mode {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Hollow => "hollow",
            Self::Real => "real",
        })
    }
}

/// Bounds of a figure, in its unit; both belong to what is allowed.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Bounds {
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub min: Option<f64>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max: Option<f64>,
}

impl Bounds {
    /// Whether a figure lies within them.
    pub fn hold(&self, figure: f64) -> bool {
        figure.is_finite()
            && self.min.is_none_or(|min| figure >= min)
            && self.max.is_none_or(|max| figure <= max)
    }

    fn check(&self) -> Result<(), String> {
        for (key, bound) in [("min", self.min), ("max", self.max)] {
            if let Some(bound) = bound.filter(|bound| !bound.is_finite()) {
                return Err(format!("`{key}` is {bound}"));
            }
        }
        match (self.min, self.max) {
            (None, None) => Err("has neither `min` nor `max`".into()),
            (Some(min), Some(max)) if min > max => Err(format!("`min` is {min}, more than `max`, {max}")),
            _ => Ok(()),
        }
    }
}

/// What is wrong with a scenario: one line that names the file, the place, the key and the value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ScenarioError(String);

impl fmt::Display for ScenarioError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for ScenarioError {}

/// A key of a scenario and the values that a sweep gives it.
#[derive(Clone, Debug, PartialEq)]
pub struct Axis {
    /// With dots between its parts: `real.balancers`.
    pub key: String,
    pub values: Vec<Value>,
}

impl std::str::FromStr for Axis {
    type Err = String;

    /// Reads `KEY=a,b,c`; a value that is not one of TOML is a string.
    fn from_str(text: &str) -> Result<Self, String> {
        let (key, values) = text.split_once('=').ok_or("has no `=`")?;
        if key.split('.').any(str::is_empty) || !key.contains('.') {
            return Err(format!("`{key}` is not a key of a table, such as `real.balancers`"));
        }
        let value = |text: &str| match text.trim() {
            "" => Err(format!("`{key}` has an empty value")),
            text => Ok(text.parse().unwrap_or_else(|_| Value::String(text.into()))),
        };
        let values = values.split(',').map(value).collect::<Result<Vec<_>, _>>()?;
        let mut seen = values.iter();
        while let Some(value) = seen.next() {
            if seen.as_slice().contains(value) {
                return Err(format!("`{key}` has the value {value} twice"));
            }
        }
        Ok(Self { key: key.into(), values })
    }
}

/// The text of a scenario's file, found sound as it stands.
#[derive(Clone, Debug)]
pub struct Source {
    path: PathBuf,
    table: Table,
    /// As the file has it.
    pub scenario: Scenario,
}

impl Source {
    /// Reads and checks a file.
    pub fn load(path: &Path) -> Result<Self, ScenarioError> {
        let text = std::fs::read_to_string(path)
            .map_err(|error| ScenarioError(format!("{}: {error}", path.display())))?;
        let at = |span: Option<Range<usize>>, message: String| {
            let place = span.map_or(String::new(), |span| place(&text, span.start));
            ScenarioError(format!("{}{place}: {}", path.display(), one_line(&message)))
        };
        let table =
            text.parse().map_err(|error: toml::de::Error| at(error.span(), error.message().into()))?;
        let reader =
            toml::Deserializer::parse(&text).map_err(|error| at(error.span(), error.message().into()))?;
        let scenario: Scenario = serde_path_to_error::deserialize(reader).map_err(|error| {
            let (key, inner) = (error.path().to_string(), error.inner());
            at(inner.span(), describe(&key, inner.message(), inner.span().and_then(|span| text.get(span))))
        })?;
        check(&scenario).map_err(|(section, message)| {
            let key = named(&message).into_iter().flat_map(|key| key.split('.'));
            let span = section.split('.').chain(key).collect::<Vec<_>>();
            at(find(&text, &span), format!("`{section}`: {message}"))
        })?;
        Ok(Self { path: path.into(), table, scenario })
    }

    /// The scenario with other values for some keys, which must be its mode's.
    pub fn with(&self, values: &[(String, Value)]) -> Result<Scenario, ScenarioError> {
        // Names the value that a path leads to, or all of them where it leads to none.
        let error = |path: &str, message: &str| {
            let leads = |key: &str| {
                path.strip_prefix(key).is_some_and(|rest| rest.is_empty() || rest.starts_with('.'))
            };
            let any = values.iter().any(|(key, _)| leads(key));
            let at_fault = values.iter().filter(|(key, _)| !any || leads(key));
            let over: String = at_fault.map(|(key, value)| format!("--over {key}={value} ")).collect();
            ScenarioError(format!("{}: {}: {}", self.path.display(), over.trim_end(), one_line(message)))
        };
        let mode = self.scenario.mode.to_string();
        let mut table = self.table.clone();
        for (key, value) in values {
            let mut parts: Vec<&str> = key.split('.').collect();
            if parts[0] != mode {
                return Err(error(key, &format!("the scenario runs `{mode}`, not `{}`", parts[0])));
            }
            let last = parts.pop().unwrap_or_default();
            let mut inner = &mut table;
            for part in parts {
                let next = inner.entry(part).or_insert_with(|| Value::Table(Table::new()));
                inner = next.as_table_mut().ok_or_else(|| error(key, &format!("`{part}` is no table")))?;
            }
            inner.insert(last.into(), value.clone());
        }
        let scenario = serde_path_to_error::deserialize(Value::Table(table)).map_err(|fault| {
            let path = fault.path().to_string();
            error(&path, &describe(&path, fault.inner().message(), None))
        })?;
        check(&scenario).map_err(|(section, message)| {
            let path = named(&message).map_or(section.clone(), |key| format!("{section}.{key}"));
            error(&path, &message)
        })?;
        Ok(scenario)
    }
}

/// Checks what the types do not say; the error comes with the table that it is in.
fn check(scenario: &Scenario) -> Result<(), (String, String)> {
    let (mine, other) = match scenario.mode {
        Mode::Hollow => {
            (scenario.hollow.as_ref().map(hollow::Config::check), scenario.real.as_ref().map(|_| "real"))
        }
        Mode::Real => {
            (scenario.real.as_ref().map(real::Config::check), scenario.hollow.as_ref().map(|_| "hollow"))
        }
    };
    let mode = scenario.mode.to_string();
    if let Some(other) = other {
        return Err((other.into(), format!("a table of another mode than `mode`, \"{mode}\"")));
    }
    match mine {
        None => return Err(("mode".into(), format!("is \"{mode}\", but there is no table `{mode}`"))),
        Some(checked) => checked.map_err(|message| (mode, message))?,
    }
    for (figure, bounds) in &scenario.expect {
        bounds.check().map_err(|message| (format!("expect.{figure}"), message))?;
    }
    Ok(())
}

/// The key in backquotes that a message begins with.
fn named(message: &str) -> Option<&str> {
    message.strip_prefix('`')?.split('`').next()
}

/// A message that has the key and, where the message itself does not, the value.
fn describe(key: &str, message: &str, value: Option<&str>) -> String {
    let value = value.filter(|value| !value.contains('\n') && !message.contains(value));
    let value = value.map_or(String::new(), |value| format!(" ({value})"));
    match key {
        "" | "." => format!("{message}{value}"),
        key => format!("`{key}`: {message}{value}"),
    }
}

fn one_line(text: &str) -> String {
    text.split_whitespace().collect::<Vec<_>>().join(" ")
}

/// `:line:column` of a byte, both from 1.
fn place(text: &str, at: usize) -> String {
    let before = text.get(..at).unwrap_or(text);
    let line_start = before.rfind('\n').map_or(0, |end| end + 1);
    format!(":{}:{}", before.matches('\n').count() + 1, before[line_start..].chars().count() + 1)
}

/// Where the key of a path stands, or the last of its tables that is there.
fn find(text: &str, path: &[&str]) -> Option<Range<usize>> {
    let mut table = toml::de::DeTable::parse(text).ok()?.into_inner();
    let mut found = None;
    for part in path {
        let key = table.keys().find(|key| key.get_ref().as_ref() == *part).cloned();
        let Some(key) = key else { break };
        found = Some(key.span());
        match table.remove(&key).map(|value| value.into_inner()) {
            Some(toml::de::DeValue::Table(inner)) => table = inner,
            _ => break,
        }
    }
    found
}
