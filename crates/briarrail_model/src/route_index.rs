//! Finds routes without looking at every row.

use std::cmp::Reverse;
use std::collections::HashMap;

use crate::{CustomerId, RequestAttributes, RouteRow, TableSet};

/// An index over the routes of one table set.
///
/// It gives the same route as [`TableSet::route_for`] at a cost that depends on the rows that name
/// the request's customer and on those that name none, and not on the rows of other customers.
///
/// ```
/// use briarrail_model::{RequestAttributes, RouteIndex, TableSet};
///
/// let tables = TableSet::default();
/// let index = RouteIndex::new(&tables);
/// let facts = RequestAttributes { customer: "clerks", method: "GET", path: "/", model: None };
/// assert_eq!(index.route_for(&tables, &facts), None);
/// ```
#[derive(Debug, Clone, Default)]
pub struct RouteIndex {
    row_count: usize,
    by_customer: HashMap<CustomerId, Vec<RowRank>>,
    for_all: Vec<RowRank>,
}

/// A row and its place in the order of preference; the least comes first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct RowRank {
    place: u32,
    row: u32,
}

impl RouteIndex {
    /// Makes the index of a table set.
    #[must_use]
    pub fn new(tables: &TableSet) -> Self {
        let routes = &tables.routes;
        let mut order: Vec<_> = (0..routes.len()).collect();
        order.sort_by_key(|&row| preference(&routes[row]));
        let mut index = Self {
            row_count: routes.len(),
            ..Self::default()
        };
        for (place, row) in order.into_iter().enumerate() {
            let rank = RowRank {
                place: place as u32,
                row: row as u32,
            };
            index.insert(&routes[row], rank);
        }
        index
    }

    /// Returns the route that takes a request, in the tables that the index was made of.
    #[must_use]
    pub fn route_for<'t>(
        &self,
        tables: &'t TableSet,
        facts: &RequestAttributes<'_>,
    ) -> Option<&'t RouteRow> {
        debug_assert_eq!(
            self.row_count,
            tables.routes.len(),
            "the index is of other tables"
        );
        let named = self.by_customer.get(facts.customer);
        let named = named.map_or(&[][..], Vec::as_slice);
        let best = [named, &self.for_all].into_iter().filter_map(|ranks| {
            let accepts = |rank: &&RowRank| {
                let route = tables.routes.get(rank.row as usize);
                route.is_some_and(|route| route.conditions.matches(facts))
            };
            ranks.iter().find(accepts)
        });
        tables.routes.get(best.min()?.row as usize)
    }

    fn insert(&mut self, route: &RouteRow, rank: RowRank) {
        if route.conditions.customers.is_empty() {
            self.for_all.push(rank);
        }
        for customer in &route.conditions.customers {
            let ranks = self.by_customer.entry(customer.clone()).or_default();
            if ranks.last() != Some(&rank) {
                ranks.push(rank);
            }
        }
    }
}

fn preference(route: &RouteRow) -> (Reverse<u32>, &str) {
    (Reverse(route.conditions.specificity()), &route.name)
}
