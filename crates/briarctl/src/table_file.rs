//! Files with tables as JSON with comments.

use std::fmt;
use std::path::Path;

use briarrail_model::{PoolRow, RouteRow, TableError, TableSet};
use jsonc_parser::ast::{Array, Object, Value};
use jsonc_parser::common::Ranged;
use jsonc_parser::{ParseOptions, parse_to_ast, parse_to_serde_value};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::table_row::{TableName, TableRow};

/// One error in a file.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct FileError {
    /// Line in the file, counted from 1; 0 when the file can't be read.
    pub line: usize,
    /// What is wrong, with the invalid value and a hint.
    pub message: String,
}

/// All errors in a file, sorted by line.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct FileErrors {
    /// Name of the file.
    pub file: String,
    /// The errors.
    pub errors: Vec<FileError>,
}

impl fmt::Display for FileErrors {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, error) in self.errors.iter().enumerate() {
            let separator = if index == 0 { "" } else { "\n" };
            let FileError { line, message } = error;
            write!(formatter, "{separator}{}:{line}: {message}", self.file)?;
        }
        Ok(())
    }
}

impl std::error::Error for FileErrors {}

/// Rows of one or both tables, read from a file.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct TableFile {
    tables: TableSet,
}

impl TableFile {
    /// Reads a file that holds an object with `routes` and `pools`.
    ///
    /// # Errors
    ///
    /// Fails when the file can't be read, and as [`from_text`](Self::from_text) does.
    pub fn read(path: &Path) -> Result<Self, FileErrors> {
        let name = path.display().to_string();
        Self::from_text(&read_text(path, &name)?, &name)
    }

    /// Reads a file, and validates both tables and the references between them.
    ///
    /// # Errors
    ///
    /// Fails when the file can't be read, and as
    /// [`from_text_validated`](Self::from_text_validated) does.
    pub fn read_validated(path: &Path) -> Result<Self, FileErrors> {
        let name = path.display().to_string();
        Self::from_text_validated(&read_text(path, &name)?, &name)
    }

    /// Parses the text of a file.
    ///
    /// # Errors
    ///
    /// Returns the syntax errors and the malformed rows; at most one error for each row.
    pub fn from_text(text: &str, name: &str) -> Result<Self, FileErrors> {
        let mut parser = FileParser::new(text);
        let file = parser.parse();
        parser.into_result(name, file)
    }

    /// Parses the text of a file, and validates both tables and the references between them.
    ///
    /// # Errors
    ///
    /// Returns the errors of [`from_text`](Self::from_text), or without any the validation errors.
    pub fn from_text_validated(text: &str, name: &str) -> Result<Self, FileErrors> {
        let file = Self::from_text(text, name)?;
        let Err(errors) = file.tables.validate() else {
            return Ok(file);
        };
        let mut parser = FileParser::new(text);
        for error in errors {
            parser.add_validation_error(&error);
        }
        parser.into_result(name, file)
    }

    /// Returns the tables.
    #[must_use]
    pub fn tables(&self) -> &TableSet {
        &self.tables
    }

    /// Returns the rows of one table, or of both.
    pub(crate) fn rows(&self, table: Option<TableName>) -> Vec<TableRow> {
        let mut rows = TableRow::from_tables(&self.tables);
        rows.retain(|row| table.is_none_or(|table| row.table == table));
        rows
    }
}

fn read_text(path: &Path, name: &str) -> Result<String, FileErrors> {
    std::fs::read_to_string(path).map_err(|error| FileErrors {
        file: name.to_owned(),
        errors: vec![FileError {
            line: 0,
            message: format!("cannot read the file: {error}"),
        }],
    })
}

/// Parses one file and collects its errors.
struct FileParser<'t> {
    text: &'t str,
    errors: Vec<FileError>,
}

impl<'t> FileParser<'t> {
    fn new(text: &'t str) -> Self {
        Self {
            text,
            errors: Vec::new(),
        }
    }

    fn parse(&mut self) -> TableFile {
        let Some(root) = self.root() else {
            return TableFile::default();
        };
        let mut tables = TableSet::default();
        for property in &root.properties {
            match property.name.as_str() {
                "routes" => tables.routes = self.rows::<RouteRow>(&property.value),
                "pools" => tables.pools = self.rows::<PoolRow>(&property.value),
                other => {
                    let message = format!("unknown key {other:?} (hint: expected routes or pools)");
                    self.add_error(property.range.start, message);
                }
            }
        }
        TableFile { tables }
    }

    fn root(&mut self) -> Option<Object<'t>> {
        let parsed = parse_to_ast(self.text, &Default::default(), &jsonc_options());
        match parsed {
            Ok(result) => {
                let object = match result.value {
                    Some(Value::Object(object)) => Some(object),
                    _ => None,
                };
                if object.is_none() {
                    let message = "the file must contain an object with routes and pools";
                    self.add_error(0, message.to_owned());
                }
                object
            }
            Err(error) => {
                let message = format!("invalid JSON with comments: {}", error.kind());
                self.add_error(error.range().start, message);
                None
            }
        }
    }

    fn rows<R>(&mut self, value: &Value<'t>) -> Vec<R>
    where
        R: DeserializeOwned,
    {
        let Some(array) = value.as_array() else {
            let message = "a table must be an array of rows (hint: enclose the rows in brackets)";
            self.add_error(value.start(), message.to_owned());
            return Vec::new();
        };
        let mut rows = Vec::new();
        for element in &array.elements {
            let range = element.range();
            let text = &self.text[range.start..range.end];
            match parse_to_serde_value(text, &jsonc_options()) {
                Ok(row) => rows.push(row),
                Err(error) => {
                    let message = format!("malformed row: {}", error.kind());
                    self.add_error(range.start + error.range().start, message);
                }
            }
        }
        rows
    }

    fn add_validation_error(&mut self, error: &TableError) {
        let offset = self.offset_of(error);
        self.add_error(offset, error.to_string());
    }

    /// Returns the byte offset of the field that a validation error names, or of its row.
    fn offset_of(&mut self, error: &TableError) -> usize {
        let root = self.root();
        let table = root.as_ref().and_then(|root| root.get_array(error.table));
        let row = table.and_then(|table| find_row(table, &error.row));
        row.map_or(0, |row| field_offset(row, error.field))
    }

    fn add_error(&mut self, offset: usize, message: String) {
        let line = self.text[..offset].matches('\n').count() + 1;
        self.errors.push(FileError { line, message });
    }

    fn into_result(mut self, name: &str, file: TableFile) -> Result<TableFile, FileErrors> {
        if self.errors.is_empty() {
            return Ok(file);
        }
        self.errors.sort_by_key(|error| error.line);
        Err(FileErrors {
            file: name.to_owned(),
            errors: self.errors,
        })
    }
}

/// Returns the last row with a name: of two rows with the same name, the error is reported at the
/// second.
fn find_row<'a, 't>(table: &'a Array<'t>, name: &str) -> Option<&'a Object<'t>> {
    let rows = table.elements.iter().rev().filter_map(Value::as_object);
    let is_named = |row: &&Object<'_>| {
        row.get_string("name")
            .is_some_and(|found| found.value == name)
    };
    rows.into_iter().find(is_named)
}

/// Returns the byte offset of a field, or of its nearest enclosing object that is present.
fn field_offset(row: &Object<'_>, field: &str) -> usize {
    let mut object = Some(row);
    let mut offset = row.range.start;
    for key in field.split('.') {
        let property = object.and_then(|object| object.get(key));
        let Some(property) = property else {
            break;
        };
        offset = property.range.start;
        object = property.value.as_object();
    }
    offset
}

/// Allows comments and trailing commas, and no other extensions of JSON.
fn jsonc_options() -> ParseOptions {
    ParseOptions {
        allow_comments: true,
        allow_trailing_commas: true,
        allow_loose_object_property_names: false,
        allow_missing_commas: false,
        allow_single_quoted_strings: false,
        allow_hexadecimal_numbers: false,
        allow_unary_plus_numbers: false,
        allow_bare_decimal_point_numbers: false,
        allow_non_finite_numbers: false,
        allow_extended_string_escapes: false,
    }
}
