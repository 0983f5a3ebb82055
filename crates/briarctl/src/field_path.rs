//! Fields of rows by their paths, such as `limits.max_attempts`.

use serde_json::Value;

/// Returns all fields of a value with their paths.
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

/// Sets a field, making the objects on the way to it.
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

/// Reads a field as JSON, or as text when it isn't JSON.
pub(crate) fn parse_field_value(text: &str) -> Value {
    serde_json::from_str(text).unwrap_or_else(|_| Value::String(text.to_owned()))
}
