//! Scenarios: TOML files that describe a run and its expected figures.

use crate::{hollow, real};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;
use std::ops::Range;
use std::path::{Path, PathBuf};
use toml::{Table, Value};

/// A scenario: the configuration of a run and its expectations.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Name of the scenario, printed in reports.
    pub name: String,
    /// Whether the run is simulated or real.
    pub mode: Mode,
    /// Seed of all random numbers.
    #[serde(default)]
    pub seed: u64,
    /// Configuration of a hollow run, for mode `hollow`.
    pub hollow: Option<hollow::Config>,
    /// Configuration of a real run, for mode `real`.
    pub real: Option<real::Config>,
    /// Bounds by name of the figure.
    #[serde(default)]
    pub expect: BTreeMap<String, Bounds>,
}

/// What a run consists of.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Mode {
    /// A simulation on virtual time, in one process.
    Hollow,
    /// Real processes on the loopback interface.
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

/// Inclusive bounds of a figure, in the unit of the figure.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Bounds {
    /// Lower bound.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub min: Option<f64>,
    /// Upper bound.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max: Option<f64>,
}

impl Bounds {
    /// Returns whether a figure lies within the bounds.
    pub fn contains(&self, figure: f64) -> bool {
        figure.is_finite()
            && self.min.is_none_or(|min| figure >= min)
            && self.max.is_none_or(|max| figure <= max)
    }

    /// Checks that at least one bound is set, and that they are finite and in order.
    fn check(&self) -> Result<(), String> {
        for (key, bound) in [("min", self.min), ("max", self.max)] {
            if let Some(bound) = bound.filter(|bound| !bound.is_finite()) {
                return Err(format!("`{key}` is {bound}, which is not finite"));
            }
        }
        match (self.min, self.max) {
            (None, None) => Err("has neither `min` nor `max`".into()),
            (Some(min), Some(max)) if min > max => Err(format!("`min` is {min}, more than `max`, {max}")),
            _ => Ok(()),
        }
    }
}

/// Error in a scenario: one line that names the file, the position, the key and the value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ScenarioError(String);

impl fmt::Display for ScenarioError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for ScenarioError {}

/// A key of a scenario and the values that a sweep sets it to.
#[derive(Clone, Debug, PartialEq)]
pub struct Axis {
    /// Path of the key with dots between its parts: `real.balancers`.
    pub key: String,
    /// Values, at least one and all different.
    pub values: Vec<Value>,
}

impl std::str::FromStr for Axis {
    type Err = String;

    /// Parses `KEY=a,b,c`; a value that is not valid TOML is taken as a string.
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
        let mut remaining = values.iter();
        while let Some(value) = remaining.next() {
            if remaining.as_slice().contains(value) {
                return Err(format!("`{key}` has the value {value} twice"));
            }
        }
        Ok(Self { key: key.into(), values })
    }
}

/// A scenario file that has been read and checked.
#[derive(Clone, Debug)]
pub struct ScenarioFile {
    path: PathBuf,
    table: Table,
    /// The scenario as written in the file.
    pub scenario: Scenario,
}

impl ScenarioFile {
    /// Reads and checks a scenario file.
    pub fn load(path: &Path) -> Result<Self, ScenarioError> {
        let text = std::fs::read_to_string(path)
            .map_err(|error| ScenarioError(format!("{}: {error}", path.display())))?;
        let error_at = |span: Option<Range<usize>>, message: String| {
            let position = span.map_or(String::new(), |span| line_and_column(&text, span.start));
            ScenarioError(format!("{}{position}: {}", path.display(), one_line(&message)))
        };
        let table =
            text.parse().map_err(|error: toml::de::Error| error_at(error.span(), error.message().into()))?;
        let reader = toml::Deserializer::parse(&text)
            .map_err(|error| error_at(error.span(), error.message().into()))?;
        let scenario: Scenario = serde_path_to_error::deserialize(reader).map_err(|error| {
            let (key, inner) = (error.path().to_string(), error.inner());
            error_at(
                inner.span(),
                describe(&key, inner.message(), inner.span().and_then(|span| text.get(span))),
            )
        })?;
        check(&scenario).map_err(|(section, message)| {
            let key = leading_key(&message).into_iter().flat_map(|key| key.split('.'));
            let key_path = section.split('.').chain(key).collect::<Vec<_>>();
            error_at(find_key(&text, &key_path), format!("`{section}`: {message}"))
        })?;
        Ok(Self { path: path.into(), table, scenario })
    }

    /// Returns the scenario with other values for some keys, which must belong to the table of the scenario's mode.
    pub fn with_values(&self, values: &[(String, Value)]) -> Result<Scenario, ScenarioError> {
        // The message names the options whose key leads to `path`, or all of them if none does.
        let error = |path: &str, message: &str| {
            let leads_to_path = |key: &str| {
                path.strip_prefix(key).is_some_and(|rest| rest.is_empty() || rest.starts_with('.'))
            };
            let any_leads_to_path = values.iter().any(|(key, _)| leads_to_path(key));
            let responsible = values.iter().filter(|(key, _)| !any_leads_to_path || leads_to_path(key));
            let options: String = responsible.map(|(key, value)| format!("--over {key}={value} ")).collect();
            ScenarioError(format!("{}: {}: {}", self.path.display(), options.trim_end(), one_line(message)))
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
                inner = next.as_table_mut().ok_or_else(|| error(key, &format!("`{part}` is not a table")))?;
            }
            inner.insert(last.into(), value.clone());
        }
        let scenario = serde_path_to_error::deserialize(Value::Table(table)).map_err(|cause| {
            let path = cause.path().to_string();
            error(&path, &describe(&path, cause.inner().message(), None))
        })?;
        check(&scenario).map_err(|(section, message)| {
            let path = leading_key(&message).map_or(section.clone(), |key| format!("{section}.{key}"));
            error(&path, &message)
        })?;
        Ok(scenario)
    }
}

/// Checks what deserialization cannot check. An error consists of the table that it is in and the message.
fn check(scenario: &Scenario) -> Result<(), (String, String)> {
    let (result, other_table) = match scenario.mode {
        Mode::Hollow => {
            (scenario.hollow.as_ref().map(hollow::Config::check), scenario.real.as_ref().map(|_| "real"))
        }
        Mode::Real => {
            (scenario.real.as_ref().map(real::Config::check), scenario.hollow.as_ref().map(|_| "hollow"))
        }
    };
    let mode = scenario.mode.to_string();
    if let Some(other_table) = other_table {
        return Err((other_table.into(), format!("this table is not used in mode \"{mode}\"")));
    }
    match result {
        None => return Err(("mode".into(), format!("is \"{mode}\", but there is no table `{mode}`"))),
        Some(checked) => checked.map_err(|message| (mode, message))?,
    }
    for (figure, bounds) in &scenario.expect {
        bounds.check().map_err(|message| (format!("expect.{figure}"), message))?;
    }
    Ok(())
}

/// Returns the key in backquotes that a message begins with.
fn leading_key(message: &str) -> Option<&str> {
    message.strip_prefix('`')?.split('`').next()
}

/// Prefixes a message with the key and appends the value, unless the message has it already.
fn describe(key: &str, message: &str, value: Option<&str>) -> String {
    let value = value.filter(|value| !value.contains('\n') && !message.contains(value));
    let value = value.map_or(String::new(), |value| format!(" ({value})"));
    match key {
        "" | "." => format!("{message}{value}"),
        key => format!("`{key}`: {message}{value}"),
    }
}

/// Joins the lines of a text into one line.
fn one_line(text: &str) -> String {
    text.split_whitespace().collect::<Vec<_>>().join(" ")
}

/// Formats a byte offset as `:line:column`, both counted from 1.
fn line_and_column(text: &str, offset: usize) -> String {
    let preceding = text.get(..offset).unwrap_or(text);
    let line_start = preceding.rfind('\n').map_or(0, |end| end + 1);
    format!(":{}:{}", preceding.matches('\n').count() + 1, preceding[line_start..].chars().count() + 1)
}

/// Returns the position of a key by its path, or of the last table on the path that exists.
fn find_key(text: &str, path: &[&str]) -> Option<Range<usize>> {
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
