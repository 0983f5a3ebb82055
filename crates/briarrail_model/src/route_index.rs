//! Index for finding the route of a request without scanning the whole table.

use std::cmp::Reverse;
use std::collections::HashMap;

use crate::{CustomerId, RequestAttributes, RouteRow, TableSet};

/// An index over the routes of a table set, by customer.
///
/// Finds the same route as [`TableSet::route_for`], but checks only the routes that list the
/// request's customer and those that apply to all customers.
///
/// ```
/// use briarrail_model::{RequestAttributes, RouteIndex, TableSet};
///
/// let tables = TableSet::default();
/// let index = RouteIndex::new(&tables);
/// let request = RequestAttributes { customer: "clerks", method: "GET", path: "/", model: None };
/// assert_eq!(index.route_for(&tables, &request), None);
/// ```
#[derive(Debug, Clone, Default)]
pub struct RouteIndex {
    row_count: usize,
    by_customer: HashMap<CustomerId, Vec<RankedRow>>,
    all_customers: Vec<RankedRow>,
}

/// A row and its rank in the order of precedence; the lowest rank comes first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct RankedRow {
    rank: u32,
    row_index: u32,
}

impl RouteIndex {
    /// Builds the index of a table set.
    #[must_use]
    pub fn new(tables: &TableSet) -> Self {
        let routes = &tables.routes;
        let mut row_indices: Vec<_> = (0..routes.len()).collect();
        row_indices.sort_by_key(|&row_index| precedence(&routes[row_index]));
        let mut index = Self {
            row_count: routes.len(),
            ..Self::default()
        };
        for (rank, row_index) in row_indices.into_iter().enumerate() {
            let row = RankedRow {
                rank: rank as u32,
                row_index: row_index as u32,
            };
            index.insert(&routes[row_index], row);
        }
        index
    }

    /// Returns the route that matches a request.
    ///
    /// `tables` must be the table set that the index was built from.
    #[must_use]
    pub fn route_for<'t>(
        &self,
        tables: &'t TableSet,
        request: &RequestAttributes<'_>,
    ) -> Option<&'t RouteRow> {
        debug_assert_eq!(
            self.row_count,
            tables.routes.len(),
            "the index was built from other tables"
        );
        let of_customer = self.by_customer.get(request.customer);
        let of_customer = of_customer.map_or(&[][..], Vec::as_slice);
        let matching = [of_customer, &self.all_customers]
            .into_iter()
            .filter_map(|rows| {
                let is_match = |row: &&RankedRow| {
                    let route = tables.routes.get(row.row_index as usize);
                    route.is_some_and(|route| route.conditions.matches(request))
                };
                rows.iter().find(is_match)
            });
        tables.routes.get(matching.min()?.row_index as usize)
    }

    fn insert(&mut self, route: &RouteRow, row: RankedRow) {
        if route.conditions.customers.is_empty() {
            self.all_customers.push(row);
        }
        for customer in &route.conditions.customers {
            let rows = self.by_customer.entry(customer.clone()).or_default();
            if rows.last() != Some(&row) {
                rows.push(row);
            }
        }
    }
}

/// Returns the sort key of a route: the most specific first, then by name.
fn precedence(route: &RouteRow) -> (Reverse<u32>, &str) {
    (Reverse(route.conditions.specificity()), &route.name)
}
