//! Reads one section of a settings file.

use std::cell::RefCell;
use std::ops::RangeInclusive;

use briarrail_model::MilliDuration;
use jsonc_parser::ast::{Object, ObjectProp, Value};
use jsonc_parser::common::{Range, Ranged};

use crate::SettingsErrorKind;
use crate::error_collector::ErrorCollector;
use crate::setting_value::SettingValue;

/// Values below this path are kept out of messages.
const SECRET_PATH: &str = "exchange.keys";

/// One section; keys that nobody asked for are reported when it is finished.
#[derive(Debug)]
pub(crate) struct SectionReader<'t> {
    log: &'t ErrorCollector<'t>,
    path: String,
    range: Range,
    object: Option<&'t Object<'t>>,
    known: RefCell<Vec<&'static str>>,
}

impl<'t> SectionReader<'t> {
    /// Returns the section that holds all others, or nothing when the value is no object.
    pub(crate) fn root(log: &'t ErrorCollector<'t>, value: &'t Value<'t>) -> Option<Self> {
        if value.as_object().is_some() {
            return Some(Self::new(log, String::new(), value));
        }
        let excerpt = log.excerpt(value.range());
        let hint = "write an object in braces";
        log.add(
            SettingsErrorKind::InvalidValue,
            value.range(),
            "file",
            &excerpt,
            hint,
        );
        None
    }

    fn new(log: &'t ErrorCollector<'t>, path: String, value: &'t Value<'t>) -> Self {
        let object = value.as_object();
        if object.is_none() {
            let excerpt = log.excerpt(value.range());
            let hint = "write an object in braces";
            log.add(
                SettingsErrorKind::InvalidValue,
                value.range(),
                &path,
                &excerpt,
                hint,
            );
        }
        Self {
            log,
            path,
            range: value.range(),
            object,
            known: RefCell::default(),
        }
    }

    /// Returns a section below this one; an absent section has no keys.
    pub(crate) fn section(&self, key: &'static str) -> Self {
        let path = self.key_path(key);
        match self.property(key) {
            Some(property) => Self::new(self.log, path, &property.value),
            None => Self {
                log: self.log,
                path,
                range: Range::new(self.range.start, self.range.start),
                object: None,
                known: RefCell::default(),
            },
        }
    }

    /// Returns a reader for each element of a list.
    pub(crate) fn list(&self, key: &'static str) -> Vec<Self> {
        let Some(property) = self.property(key) else {
            return Vec::new();
        };
        let Some(array) = property.value.as_array() else {
            self.add_error(
                SettingsErrorKind::InvalidValue,
                key,
                "write a list in brackets",
            );
            return Vec::new();
        };
        let elements = array.elements.iter().enumerate();
        let path = |index| format!("{}[{index}]", self.key_path(key));
        elements
            .map(|(index, value)| Self::new(self.log, path(index), value))
            .collect()
    }

    /// Returns a value that must be present.
    pub(crate) fn required<T>(&self, key: &'static str) -> Option<T>
    where
        T: SettingValue,
    {
        if self.property(key).is_none() {
            let path = self.key_path(key);
            self.log.add(
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

    /// Returns a value that may be absent.
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

    /// Returns a value, or its default when it is absent.
    pub(crate) fn value_or<T>(&self, key: &'static str, default: T) -> T
    where
        T: SettingValue,
    {
        self.optional(key).unwrap_or(default)
    }

    /// Returns a whole number within a range.
    pub(crate) fn integer(
        &self,
        key: &'static str,
        default: u64,
        range: RangeInclusive<u64>,
    ) -> u64 {
        let number = self.value_or(key, default);
        if !range.contains(&number) {
            let hint = format!("use {} to {}", range.start(), range.end());
            self.add_error(SettingsErrorKind::OutOfRange, key, &hint);
        }
        number
    }

    /// Returns a span of milliseconds within a range.
    pub(crate) fn duration_ms(
        &self,
        key: &'static str,
        default: MilliDuration,
        range: RangeInclusive<u64>,
    ) -> MilliDuration {
        MilliDuration::from_millis(self.integer(key, default.as_millis(), range))
    }

    /// Reports a mistake in the value of a key.
    pub(crate) fn add_error(&self, kind: SettingsErrorKind, key: &'static str, hint: &str) {
        let path = self.key_path(key);
        let node = self.property(key).map(|property| &property.value);
        let range = node.map_or(self.range, Ranged::range);
        let excerpt = match node {
            Some(_) => value_excerpt(self.log, &path, range),
            None => String::new(),
        };
        self.log.add(kind, range, &path, &excerpt, hint);
    }

    /// Reports keys that stand twice or that nobody asked for.
    pub(crate) fn finish(self) {
        let properties = self.object.map_or(&[][..], |object| &object.properties);
        let known = self.known.borrow();
        for (index, property) in properties.iter().enumerate() {
            let name = property.name.as_str();
            let path = self.key_path(name);
            if !known.contains(&name) {
                let hint = format!("known keys: {}", known.join(", "));
                // The value is left out, since the key may be a misspelt one of a secret.
                let kind = SettingsErrorKind::UnknownKey;
                self.log.add(kind, property.range, &path, "", &hint);
            }
            let earlier = &properties[..index];
            if earlier.iter().any(|other| other.name.as_str() == name) {
                let hint = "keep one of them";
                let excerpt = value_excerpt(self.log, &path, property.value.range());
                let kind = SettingsErrorKind::DuplicateKey;
                self.log.add(kind, property.range, &path, &excerpt, hint);
            }
        }
    }

    fn property(&self, key: &'static str) -> Option<&'t ObjectProp<'t>> {
        let mut known = self.known.borrow_mut();
        if !known.contains(&key) {
            known.push(key);
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

/// Returns the text of a value, unless it may hold a secret.
fn value_excerpt(log: &ErrorCollector<'_>, path: &str, range: Range) -> String {
    if path.starts_with(SECRET_PATH) {
        "(hidden)".to_owned()
    } else {
        log.excerpt(range)
    }
}
