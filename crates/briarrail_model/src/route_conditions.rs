//! Which requests a route takes.

use serde::{Deserialize, Serialize};

use crate::CustomerId;

/// What routing knows of a request.
#[derive(Debug, Clone, Copy)]
pub struct RequestAttributes<'a> {
    /// Customer that the request names.
    pub customer: &'a str,
    /// HTTP method, in upper case.
    pub method: &'a str,
    /// Path of the request, without the query.
    pub path: &'a str,
    /// Model that the body names, if any.
    pub model: Option<&'a str>,
}

/// The conditions of a route; an empty one matches every request.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RouteConditions {
    /// Customers that the route takes; empty for all.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub customers: Vec<CustomerId>,
    /// Methods that the route takes, in upper case; empty for all.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub methods: Vec<String>,
    /// Prefix of the path; empty for all.
    #[serde(skip_serializing_if = "String::is_empty")]
    pub path_prefix: String,
    /// Models that the route takes; empty for all requests, with a model or without.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub models: Vec<String>,
}

impl RouteConditions {
    /// Returns whether the conditions hold for a request.
    #[must_use]
    pub fn matches(&self, facts: &RequestAttributes<'_>) -> bool {
        let customer = contains(&self.customers, |id| id.as_str() == facts.customer);
        let method = contains(&self.methods, |method| method == facts.method);
        let path = path_has_prefix(facts.path, &self.path_prefix);
        let model = contains(&self.models, |model| Some(model.as_str()) == facts.model);
        customer && method && path && model
    }

    /// Returns how specific the conditions are; a higher value is tried first.
    #[must_use]
    pub fn specificity(&self) -> u32 {
        let listed = [
            !self.customers.is_empty(),
            !self.models.is_empty(),
            !self.methods.is_empty(),
        ];
        let count = listed.into_iter().filter(|&is_listed| is_listed).count();
        count as u32 * 1_000 + self.path_prefix.len().min(999) as u32
    }
}

fn contains<T, P>(list: &[T], predicate: P) -> bool
where
    P: Fn(&T) -> bool,
{
    list.is_empty() || list.iter().any(predicate)
}

/// Compares whole segments, so that `/tickets` does not take `/ticketsale`.
fn path_has_prefix(path: &str, prefix: &str) -> bool {
    let prefix = prefix.trim_end_matches('/');
    path.strip_prefix(prefix)
        .is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
}
