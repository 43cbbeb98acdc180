//! What a run has measured, and how it is written down.

use serde::Serialize;
use std::collections::BTreeMap;

/// A table of a report; each row has as many cells as there are columns.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Table {
    pub title: String,
    pub columns: Vec<String>,
    pub rows: Vec<Vec<String>>,
}

/// What one run has measured.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Outcome {
    /// Single figures by name; the name ends with the unit. A scenario's `[expect]` bounds these.
    pub figures: BTreeMap<String, f64>,
    pub tables: Vec<Table>,
}
