//! The routes and pools tables and their validation.

use std::collections::HashSet;

use serde::{Deserialize, Serialize};

use crate::{
    CallSemantics, MissingKeyPolicy, PoolRow, RequestAttributes, RouteRow, TableError,
    TableErrorKind,
};

const MAX_NAME_BYTES: usize = 64;
const MIN_SKEW_BOUND: f64 = 1.05;
const MAX_SKEW_BOUND: f64 = 10.0;

/// The configuration tables: routes and pools.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct TableSet {
    /// Rows of the routes table.
    pub routes: Vec<RouteRow>,
    /// Rows of the pools table.
    pub pools: Vec<PoolRow>,
}

impl TableSet {
    /// Returns the pool with the given name.
    #[must_use]
    pub fn pool(&self, name: &str) -> Option<&PoolRow> {
        self.pools.iter().find(|pool| pool.name == name)
    }

    /// Returns the route with the given name.
    #[must_use]
    pub fn route(&self, name: &str) -> Option<&RouteRow> {
        self.routes.iter().find(|route| route.name == name)
    }

    /// Returns the matching route for a request: the most specific, then the first by name.
    #[must_use]
    pub fn route_for(&self, request: &RequestAttributes<'_>) -> Option<&RouteRow> {
        let matching = self
            .routes
            .iter()
            .filter(|route| route.conditions.matches(request));
        matching.min_by(|left, right| {
            let by_specificity = right
                .conditions
                .specificity()
                .cmp(&left.conditions.specificity());
            by_specificity.then_with(|| left.name.cmp(&right.name))
        })
    }

    /// Validates both tables and the references from routes to pools.
    ///
    /// # Errors
    ///
    /// Returns all errors: those of the routes, then those of the pools, each in table order.
    pub fn validate(&self) -> Result<(), Vec<TableError>> {
        let mut errors = Vec::new();
        let mut route_names = HashSet::new();
        for route in &self.routes {
            check_name("routes", &route.name, &mut route_names, &mut errors);
            self.check_route(route, &mut errors);
        }
        let mut pool_names = HashSet::new();
        for pool in &self.pools {
            check_name("pools", &pool.name, &mut pool_names, &mut errors);
            check_pool(pool, &mut errors);
        }
        if errors.is_empty() {
            Ok(())
        } else {
            Err(errors)
        }
    }

    fn check_route(&self, route: &RouteRow, errors: &mut Vec<TableError>) {
        let mut push_error = |kind, field, value: &str, hint: &str| {
            errors.push(table_error(kind, "routes", &route.name, field, value, hint));
        };
        if self.pool(&route.pool).is_none() {
            let names: Vec<_> = self.pools.iter().map(|pool| pool.name.as_str()).collect();
            let hint = format!("known pools: {}", names.join(", "));
            push_error(TableErrorKind::UnknownPool, "pool", &route.pool, &hint);
        }
        if route.deadline_ms.as_millis() == 0 {
            push_error(
                TableErrorKind::OutOfRange,
                "deadline_ms",
                "0",
                "use at least 1",
            );
        }
        let prefix = &route.conditions.path_prefix;
        if !prefix.is_empty() && !prefix.starts_with('/') {
            let hint = "start the prefix with a slash";
            push_error(
                TableErrorKind::OutOfRange,
                "match.path_prefix",
                prefix,
                hint,
            );
        }
        for method in &route.conditions.methods {
            if method.is_empty() || !method.bytes().all(|byte| byte.is_ascii_uppercase()) {
                let hint = "write methods in upper case, such as POST";
                push_error(TableErrorKind::OutOfRange, "match.methods", method, hint);
            }
        }
        let idempotent = route.semantics == CallSemantics::Idempotent;
        if idempotent && route.keyless == MissingKeyPolicy::SendOnce {
            let hint = "keyless applies to at_most_once routes only";
            push_error(TableErrorKind::Conflict, "keyless", "send_once", hint);
        }
    }
}

fn check_name<'t>(
    table: &'static str,
    name: &'t str,
    seen: &mut HashSet<&'t str>,
    errors: &mut Vec<TableError>,
) {
    let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte);
    if name.is_empty() || name.len() > MAX_NAME_BYTES || !name.bytes().all(is_allowed) {
        let hint = "use 1 to 64 letters, digits, '-', '_' or '.'";
        errors.push(table_error(
            TableErrorKind::InvalidName,
            table,
            name,
            "name",
            name,
            hint,
        ));
    }
    if !seen.insert(name) {
        let hint = "rename one of the rows";
        errors.push(table_error(
            TableErrorKind::DuplicateName,
            table,
            name,
            "name",
            name,
            hint,
        ));
    }
}

fn check_pool(pool: &PoolRow, errors: &mut Vec<TableError>) {
    let mut push_error = |field, value: String, hint: &str| {
        let kind = TableErrorKind::OutOfRange;
        errors.push(table_error(kind, "pools", &pool.name, field, &value, hint));
    };
    if !(MIN_SKEW_BOUND..=MAX_SKEW_BOUND).contains(&pool.skew_bound) {
        push_error("skew_bound", pool.skew_bound.to_string(), "use 1.05 to 10");
    }
    if pool.targets.service.is_empty() {
        push_error(
            "targets.service",
            String::new(),
            "name the service of the hosts",
        );
    }
    if pool.limits.max_in_flight_per_target == 0 {
        push_error(
            "limits.max_in_flight_per_target",
            "0".into(),
            "use at least 1",
        );
    }
    if pool.limits.max_attempts == 0 {
        push_error("limits.max_attempts", "0".into(), "use at least 1");
    }
    if pool.limits.max_body_bytes == 0 {
        push_error("limits.max_body_bytes", "0".into(), "use at least 1");
    }
    if pool.objective.first_token_ms.as_millis() == 0 {
        push_error("objective.first_token_ms", "0".into(), "use at least 1");
    }
    if pool.objective.token_gap_ms.as_millis() == 0 {
        push_error("objective.token_gap_ms", "0".into(), "use at least 1");
    }
    let goals = [
        ("objective.latency_goal", pool.objective.latency_goal),
        ("objective.answered_goal", pool.objective.answered_goal),
        ("objective.known_goal", pool.objective.known_goal),
    ];
    for (field, goal) in goals {
        if !(goal > 0.0 && goal < 1.0) {
            push_error(
                field,
                goal.to_string(),
                "use a fraction between 0 and 1, such as 0.95",
            );
        }
    }
}

fn table_error(
    kind: TableErrorKind,
    table: &'static str,
    row: &str,
    field: &'static str,
    value: &str,
    hint: &str,
) -> TableError {
    TableError {
        kind,
        table,
        row: row.to_owned(),
        field,
        value: value.to_owned(),
        hint: hint.to_owned(),
    }
}
