//! Conditions that select the requests of a route.

use serde::{Deserialize, Serialize};

use crate::CustomerId;

/// Attributes of a request that routes match on.
#[derive(Debug, Clone, Copy)]
pub struct RequestAttributes<'a> {
    /// Customer given in the request.
    pub customer: &'a str,
    /// HTTP method, in upper case.
    pub method: &'a str,
    /// Path of the request, without the query string.
    pub path: &'a str,
    /// Model given in the request body, if any.
    pub model: Option<&'a str>,
}

/// Conditions of a route; an empty condition matches every request.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RouteConditions {
    /// Customers that the route matches; empty for all.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub customers: Vec<CustomerId>,
    /// HTTP methods that the route matches, in upper case; empty for all.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub methods: Vec<String>,
    /// Path prefix that the route matches, by whole segments; empty for all.
    #[serde(skip_serializing_if = "String::is_empty")]
    pub path_prefix: String,
    /// Models that the route matches; empty for all requests, including those without a model.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub models: Vec<String>,
}

impl RouteConditions {
    /// Returns whether all conditions match a request.
    #[must_use]
    pub fn matches(&self, request: &RequestAttributes<'_>) -> bool {
        let customer_matches =
            is_empty_or_any(&self.customers, |id| id.as_str() == request.customer);
        let method_matches = is_empty_or_any(&self.methods, |method| method == request.method);
        let path_matches = path_has_prefix(request.path, &self.path_prefix);
        let model_matches =
            is_empty_or_any(&self.models, |model| Some(model.as_str()) == request.model);
        customer_matches && method_matches && path_matches && model_matches
    }

    /// Returns how specific the conditions are; routes with a higher value take precedence.
    ///
    /// The number of conditions on customer, model and method outweighs any path length.
    #[must_use]
    pub fn specificity(&self) -> u32 {
        let has_condition = [
            !self.customers.is_empty(),
            !self.models.is_empty(),
            !self.methods.is_empty(),
        ];
        let condition_count = has_condition.into_iter().filter(|&is_set| is_set).count();
        condition_count as u32 * 1_000 + self.path_prefix.len().min(999) as u32
    }
}

fn is_empty_or_any<T, P>(list: &[T], predicate: P) -> bool
where
    P: Fn(&T) -> bool,
{
    list.is_empty() || list.iter().any(predicate)
}

/// Compares whole path segments, so that the prefix `/tickets` does not match `/ticketsale`.
fn path_has_prefix(path: &str, prefix: &str) -> bool {
    let prefix = prefix.trim_end_matches('/');
    path.strip_prefix(prefix)
        .is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
}
