//! Rows of either table as JSON values.

use std::fmt;

use briarrail_config::RowChange;
use briarrail_model::{PoolRow, RouteRow, TableSet};
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Value;

/// One of the two tables.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum TableName {
    Pools,
    Routes,
}

impl TableName {
    pub(crate) const fn as_str(self) -> &'static str {
        match self {
            Self::Pools => "pools",
            Self::Routes => "routes",
        }
    }
}

impl fmt::Display for TableName {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.pad(self.as_str())
    }
}

/// One row, with all defaults filled in.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct TableRow {
    pub(crate) table: TableName,
    pub(crate) name: String,
    /// Version of the row; 0 when it has no version.
    pub(crate) version: u64,
    /// The row without its `stamp`: version, editor and time of the last edit.
    pub(crate) fields: Value,
    /// The row as stored.
    pub(crate) value: Value,
}

impl TableRow {
    /// Parses a row from its JSON value.
    pub(crate) fn new(table: TableName, value: Value) -> Result<Self, serde_json::Error> {
        match table {
            TableName::Pools => serde_json::from_value::<PoolRow>(value).map(Self::from_pool),
            TableName::Routes => serde_json::from_value::<RouteRow>(value).map(Self::from_route),
        }
    }

    pub(crate) fn from_pool(row: PoolRow) -> Self {
        let (name, version) = (row.name.clone(), row.stamp.version);
        Self::from_parts(TableName::Pools, name, version, &row)
    }

    pub(crate) fn from_route(row: RouteRow) -> Self {
        let (name, version) = (row.name.clone(), row.stamp.version);
        Self::from_parts(TableName::Routes, name, version, &row)
    }

    /// Returns the rows of both tables, pools first.
    pub(crate) fn from_tables(tables: &TableSet) -> Vec<Self> {
        let pools = tables.pools.iter().cloned().map(Self::from_pool);
        let routes = tables.routes.iter().cloned().map(Self::from_route);
        pools.chain(routes).collect()
    }

    /// Returns the change that writes this row.
    ///
    /// # Panics
    ///
    /// Panics when `value` is not a valid row; the constructors guarantee that it is.
    pub(crate) fn put_change(&self, expected_version: u64) -> RowChange {
        match self.table {
            TableName::Pools => RowChange::PutPool {
                expected: expected_version,
                row: deserialize_row(&self.value),
            },
            TableName::Routes => RowChange::PutRoute {
                expected: expected_version,
                row: deserialize_row(&self.value),
            },
        }
    }

    /// Returns the change that deletes this row.
    pub(crate) fn delete_change(&self, expected_version: u64) -> RowChange {
        let name = self.name.clone();
        match self.table {
            TableName::Pools => RowChange::DeletePool {
                expected: expected_version,
                name,
            },
            TableName::Routes => RowChange::DeleteRoute {
                expected: expected_version,
                name,
            },
        }
    }

    fn from_parts<R>(table: TableName, name: String, version: u64, row: &R) -> Self
    where
        R: Serialize,
    {
        let value = serde_json::to_value(row).expect("map keys of rows are strings");
        let mut fields = value.clone();
        if let Some(object) = fields.as_object_mut() {
            object.remove("stamp");
        }
        Self {
            table,
            name,
            version,
            fields,
            value,
        }
    }
}

fn deserialize_row<R>(value: &Value) -> R
where
    R: DeserializeOwned,
{
    serde_json::from_value(value.clone()).expect("the value was serialized from a row")
}
