//! Collection of errors while settings are read.

use std::cell::RefCell;

use jsonc_parser::common::Range;

use crate::{SettingsError, SettingsErrorKind, SettingsErrors};

const MAX_EXCERPT_CHARS: usize = 60;

/// The errors found so far, and the text of the settings.
#[derive(Debug)]
pub(crate) struct ErrorCollector<'t> {
    text: &'t str,
    errors: RefCell<Vec<SettingsError>>,
}

impl<'t> ErrorCollector<'t> {
    pub(crate) fn new(text: &'t str) -> Self {
        Self {
            text,
            errors: RefCell::default(),
        }
    }

    /// Records an error at a range of the text.
    pub(crate) fn push(
        &self,
        kind: SettingsErrorKind,
        range: Range,
        key: &str,
        value: &str,
        hint: &str,
    ) {
        self.errors.borrow_mut().push(SettingsError {
            kind,
            line: self.line_number(range),
            key: key.to_owned(),
            value: value.to_owned(),
            hint: hint.to_owned(),
        });
    }

    /// Returns the text of a value, truncated to a length that fits an error message.
    ///
    /// Objects and lists are abbreviated to their brackets, since they may contain a secret.
    pub(crate) fn excerpt(&self, range: Range) -> String {
        let text = &self.text[range.start..range.end];
        match text.as_bytes().first() {
            Some(b'{') => "{...}".to_owned(),
            Some(b'[') => "[...]".to_owned(),
            _ if text.chars().count() <= MAX_EXCERPT_CHARS => text.to_owned(),
            _ => text
                .chars()
                .take(MAX_EXCERPT_CHARS)
                .chain("...".chars())
                .collect(),
        }
    }

    /// Returns the token at which parsing failed. Only punctuation is returned, since any other
    /// text may be part of a secret.
    pub(crate) fn token_excerpt(&self, range: Range) -> &'t str {
        let text = self.text.get(range.start..range.end).unwrap_or_default();
        let is_punctuation = text.chars().all(|char| char.is_ascii_punctuation());
        if is_punctuation { text } else { "" }
    }

    /// Returns the errors sorted by line, or `None` if there are none.
    pub(crate) fn into_errors(self) -> Option<SettingsErrors> {
        let mut errors = self.errors.into_inner();
        errors.sort_by_key(|error| error.line);
        (!errors.is_empty()).then_some(SettingsErrors(errors))
    }

    fn line_number(&self, range: Range) -> usize {
        self.text[..range.start].matches('\n').count() + 1
    }
}
