//! Access to fields of rows by dotted paths, such as `limits.max_attempts`.

use serde_json::Value;

/// Returns all leaf fields of a value with their paths; an empty object counts as a leaf.
pub(crate) fn flatten(value: &Value) -> Vec<(String, Value)> {
    let mut fields = Vec::new();
    flatten_into(value, "", &mut fields);
    fields
}

fn flatten_into(value: &Value, path: &str, fields: &mut Vec<(String, Value)>) {
    let Some(object) = value.as_object().filter(|object| !object.is_empty()) else {
        fields.push((path.to_owned(), value.clone()));
        return;
    };
    for (key, field) in object {
        let separator = if path.is_empty() { "" } else { "." };
        flatten_into(field, &format!("{path}{separator}{key}"), fields);
    }
}

/// Sets a field; values on its path that are not objects are replaced by objects.
pub(crate) fn set_field(value: &mut Value, path: &str, field: Value) {
    let mut node = value;
    for key in path.split('.') {
        if !node.is_object() {
            *node = Value::Object(serde_json::Map::new());
        }
        node = &mut node[key];
    }
    *node = field;
}

/// Parses a field value as JSON, or takes it as a string when it isn't valid JSON.
pub(crate) fn parse_field_value(text: &str) -> Value {
    serde_json::from_str(text).unwrap_or_else(|_| Value::String(text.to_owned()))
}
