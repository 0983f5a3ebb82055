//! Typed access to one section of the settings.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::ops::RangeInclusive;

use briarrail_model::MilliDuration;
use jsonc_parser::ast::{Object, ObjectProp, Value};
use jsonc_parser::common::{Range, Ranged};

use crate::SettingsErrorKind;
use crate::error_collector::ErrorCollector;
use crate::setting_value::SettingValue;

/// Values below this path are redacted in error messages.
const SECRET_PATH: &str = "exchange.keys";

/// Reads one section. [`finish`](Self::finish) reports the keys that were not read.
#[derive(Debug)]
pub(crate) struct SectionReader<'t> {
    errors: &'t ErrorCollector<'t>,
    path: String,
    range: Range,
    object: Option<&'t Object<'t>>,
    known_keys: RefCell<Vec<&'static str>>,
}

impl<'t> SectionReader<'t> {
    /// Returns a reader for the top-level object, or `None` if the value is not an object.
    pub(crate) fn root(errors: &'t ErrorCollector<'t>, value: &'t Value<'t>) -> Option<Self> {
        if value.as_object().is_some() {
            return Some(Self::new(errors, String::new(), value));
        }
        let excerpt = errors.excerpt(value.range());
        let hint = "expected an object";
        errors.push(
            SettingsErrorKind::InvalidValue,
            value.range(),
            "file",
            &excerpt,
            hint,
        );
        None
    }

    fn new(errors: &'t ErrorCollector<'t>, path: String, value: &'t Value<'t>) -> Self {
        let object = value.as_object();
        if object.is_none() {
            let excerpt = errors.excerpt(value.range());
            let hint = "expected an object";
            errors.push(
                SettingsErrorKind::InvalidValue,
                value.range(),
                &path,
                &excerpt,
                hint,
            );
        }
        Self {
            errors,
            path,
            range: value.range(),
            object,
            known_keys: RefCell::default(),
        }
    }

    /// Returns a subsection; a missing section is treated as empty.
    pub(crate) fn section(&self, key: &'static str) -> Self {
        let path = self.key_path(key);
        match self.property(key) {
            Some(property) => Self::new(self.errors, path, &property.value),
            None => Self {
                errors: self.errors,
                path,
                range: Range::new(self.range.start, self.range.start),
                object: None,
                known_keys: RefCell::default(),
            },
        }
    }

    /// Returns a reader for each element of a list.
    pub(crate) fn list(&self, key: &'static str) -> Vec<Self> {
        let Some(property) = self.property(key) else {
            return Vec::new();
        };
        let Some(array) = property.value.as_array() else {
            self.add_error(SettingsErrorKind::InvalidValue, key, "expected a list");
            return Vec::new();
        };
        let elements = array.elements.iter().enumerate();
        let path = |index| format!("{}[{index}]", self.key_path(key));
        elements
            .map(|(index, value)| Self::new(self.errors, path(index), value))
            .collect()
    }

    /// Returns the entries of a subsection whose keys are free names; a missing one is empty.
    pub(crate) fn table<T>(&self, key: &'static str) -> BTreeMap<String, T>
    where
        T: SettingValue,
    {
        let section = self.section(key);
        let properties = section.object.map_or(&[][..], |object| &object.properties);
        let mut table = BTreeMap::new();
        for property in properties {
            let name = property.name.as_str();
            let report = |kind, hint| {
                let excerpt = self.errors.excerpt(property.value.range());
                let path = section.key_path(name);
                self.errors
                    .push(kind, property.range, &path, &excerpt, hint);
            };
            match T::from_node(&property.value) {
                Some(value) if !table.contains_key(name) => {
                    table.insert(name.to_owned(), value);
                }
                Some(_) => report(SettingsErrorKind::DuplicateKey, "remove all but one"),
                None => report(SettingsErrorKind::InvalidValue, T::EXPECTED),
            }
        }
        table
    }

    /// Returns a required value, and reports an error if it is missing.
    pub(crate) fn required<T>(&self, key: &'static str) -> Option<T>
    where
        T: SettingValue,
    {
        if self.property(key).is_none() {
            let path = self.key_path(key);
            self.errors.push(
                SettingsErrorKind::MissingKey,
                self.range,
                &path,
                "",
                T::EXPECTED,
            );
            return None;
        }
        self.optional(key)
    }

    /// Returns a value, or `None` if it is missing. An invalid value is reported as an error.
    pub(crate) fn optional<T>(&self, key: &'static str) -> Option<T>
    where
        T: SettingValue,
    {
        let property = self.property(key)?;
        let value = T::from_node(&property.value);
        if value.is_none() {
            self.add_error(SettingsErrorKind::InvalidValue, key, T::EXPECTED);
        }
        value
    }

    /// Returns a value, or the default if it is missing. An invalid value is reported as an error.
    pub(crate) fn value_or<T>(&self, key: &'static str, default: T) -> T
    where
        T: SettingValue,
    {
        self.optional(key).unwrap_or(default)
    }

    /// Returns an integer, and reports an error if it is out of range.
    pub(crate) fn integer(
        &self,
        key: &'static str,
        default: u64,
        range: RangeInclusive<u64>,
    ) -> u64 {
        let number = self.value_or(key, default);
        if !range.contains(&number) {
            let hint = format!("expected {} to {}", range.start(), range.end());
            self.add_error(SettingsErrorKind::OutOfRange, key, &hint);
        }
        number
    }

    /// Returns a duration in milliseconds, and reports an error if it is out of range.
    pub(crate) fn duration_ms(
        &self,
        key: &'static str,
        default: MilliDuration,
        range: RangeInclusive<u64>,
    ) -> MilliDuration {
        MilliDuration::from_millis(self.integer(key, default.as_millis(), range))
    }

    /// Reports an error in the value of a key.
    pub(crate) fn add_error(&self, kind: SettingsErrorKind, key: &'static str, hint: &str) {
        let path = self.key_path(key);
        let node = self.property(key).map(|property| &property.value);
        let range = node.map_or(self.range, Ranged::range);
        let excerpt = match node {
            Some(_) => value_excerpt(self.errors, &path, range),
            None => String::new(),
        };
        self.errors.push(kind, range, &path, &excerpt, hint);
    }

    /// Reports unknown and duplicate keys.
    pub(crate) fn finish(self) {
        let properties = self.object.map_or(&[][..], |object| &object.properties);
        let known_keys = self.known_keys.borrow();
        for (index, property) in properties.iter().enumerate() {
            let name = property.name.as_str();
            let path = self.key_path(name);
            if !known_keys.contains(&name) {
                let hint = format!("known keys: {}", known_keys.join(", "));
                // The value is omitted: the key may be the misspelled key of a secret.
                let kind = SettingsErrorKind::UnknownKey;
                self.errors.push(kind, property.range, &path, "", &hint);
            }
            let earlier = &properties[..index];
            if earlier.iter().any(|other| other.name.as_str() == name) {
                let hint = "remove all but one";
                let excerpt = value_excerpt(self.errors, &path, property.value.range());
                let kind = SettingsErrorKind::DuplicateKey;
                self.errors
                    .push(kind, property.range, &path, &excerpt, hint);
            }
        }
    }

    fn property(&self, key: &'static str) -> Option<&'t ObjectProp<'t>> {
        let mut known_keys = self.known_keys.borrow_mut();
        if !known_keys.contains(&key) {
            known_keys.push(key);
        }
        self.object?.get(key)
    }

    fn key_path(&self, key: &str) -> String {
        if self.path.is_empty() {
            key.to_owned()
        } else {
            format!("{}.{key}", self.path)
        }
    }
}

/// Returns the text of a value, redacted if it may contain a secret.
fn value_excerpt(errors: &ErrorCollector<'_>, path: &str, range: Range) -> String {
    if path.starts_with(SECRET_PATH) {
        "(hidden)".to_owned()
    } else {
        errors.excerpt(range)
    }
}
