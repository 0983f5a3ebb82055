//! Report of the burn rates.

use std::fmt::Write;

use briarrail_model::MilliTime;
use serde::{Deserialize, Serialize};

use crate::{AlertLevel, BurnLine, BurnSnapshot, BurnWindow, ObjectiveKind, PoolCounts};

/// Burn rates of all pools and customers.
///
/// Within a pool, the lines over all customers come first, then those per customer, each with the
/// most urgent first.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct BurnReport {
    /// Unix time of the latest merged snapshot, in milliseconds.
    pub taken_at_ms: MilliTime,
    /// Number of routers that the counts come from.
    pub routers: u32,
    /// Most urgent alert level of all lines.
    pub level: AlertLevel,
    /// A line for each pool, customer and objective with events.
    pub lines: Vec<BurnLine>,
}

impl BurnReport {
    /// Computes the burn rates from a merged snapshot.
    #[must_use]
    pub fn new(snapshot: &BurnSnapshot) -> Self {
        let lines: Vec<_> = snapshot.pools.iter().flat_map(pool_lines).collect();
        Self {
            taken_at_ms: snapshot.taken_at_ms,
            routers: snapshot.routers,
            level: lines
                .iter()
                .map(|line| line.level)
                .max()
                .unwrap_or_default(),
            lines,
        }
    }

    /// Formats the report as text, without customer lines at [`AlertLevel::Fine`].
    #[must_use]
    pub fn to_text(&self) -> String {
        let mut text = format!("burn over {} routers: {}\n", self.routers, self.level);
        let windows = BurnWindow::ALL
            .map(|window| format!("{window:>8}"))
            .join("");
        let titles = ["pool", "customer", "objective", "goal", "level"];
        let [pool, customer, objective, goal, level] = titles;
        let header = format!("{pool:<16}{customer:<16}{objective:<15}{goal:<8}{level:<8}{windows}");
        push_line(&mut text, &header);
        let is_shown =
            |line: &&BurnLine| line.customer == ALL_CUSTOMERS || line.level > AlertLevel::Fine;
        for line in self.lines.iter().filter(is_shown) {
            push_line(&mut text, &format_line(line));
        }
        text
    }
}

/// Customer name of the lines over all customers of a pool.
pub(crate) const ALL_CUSTOMERS: &str = "(all)";
/// Customer name of the lines over the customers without their own series.
const OTHER_CUSTOMERS: &str = "(others)";

fn pool_lines(pool: &PoolCounts) -> Vec<BurnLine> {
    let mut lines = Vec::new();
    for kind in ObjectiveKind::ALL {
        let line = BurnLine::new(
            &pool.pool,
            ALL_CUSTOMERS,
            &pool.objective,
            kind,
            &pool.windows,
        );
        lines.push(line);
    }
    for series in &pool.customers {
        let customer = series
            .customer
            .as_ref()
            .map_or(OTHER_CUSTOMERS, |id| id.as_str());
        for kind in ObjectiveKind::ALL {
            let windows = &series.windows;
            lines.push(BurnLine::new(
                &pool.pool,
                customer,
                &pool.objective,
                kind,
                windows,
            ));
        }
    }
    lines.retain(BurnLine::has_events);
    lines.sort_by_key(|line| {
        (
            line.customer != ALL_CUSTOMERS,
            std::cmp::Reverse(line.level),
        )
    });
    lines
}

fn format_line(line: &BurnLine) -> String {
    let mut text = format!(
        "{:<16}{:<16}{:<15}{:<8}{:<8}",
        line.pool, line.customer, line.objective, line.goal, line.level
    );
    for window_rate in &line.rates {
        let shown = window_rate
            .rate
            .map_or("-".to_owned(), |rate| format!("{rate:.2}"));
        // Writing to a `String` never fails.
        let _ = write!(text, "{shown:>8}");
    }
    text
}

fn push_line(text: &mut String, line: &str) {
    text.push_str(line.trim_end());
    text.push('\n');
}
