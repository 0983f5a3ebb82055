//! The report on service-level burn.

use std::fmt::Write;

use briarrail_model::MilliTime;
use serde::{Deserialize, Serialize};

use crate::{AlertLevel, BurnLine, BurnSnapshot, BurnWindow, ObjectiveKind, PoolCounts};

/// Burn rates of all pools and customers, most urgent first within each pool.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct BurnReport {
    /// Unix time of the latest snapshot, in milliseconds.
    pub taken_at_ms: MilliTime,
    /// Routers that the counts come from.
    pub routers: u32,
    /// Most urgent level of all lines.
    pub level: AlertLevel,
    /// One line for each pool, customer and objective with events.
    pub lines: Vec<BurnLine>,
}

impl BurnReport {
    /// Works the rates out from merged snapshots.
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

    /// Returns the report as text; customers whose lines are all fine are left out.
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
        let shown = |line: &&BurnLine| line.customer == ALL || line.level > AlertLevel::Fine;
        for line in self.lines.iter().filter(shown) {
            push_line(&mut text, &line_text(line));
        }
        text
    }
}

/// Stands for all customers of a pool.
pub(crate) const ALL: &str = "(all)";
const OTHERS: &str = "(others)";

fn pool_lines(pool: &PoolCounts) -> Vec<BurnLine> {
    let mut lines = Vec::new();
    for kind in ObjectiveKind::ALL {
        let line = BurnLine::new(&pool.pool, ALL, &pool.objective, kind, &pool.windows);
        lines.push(line);
    }
    for series in &pool.customers {
        let customer = series.customer.as_ref().map_or(OTHERS, |id| id.as_str());
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
    lines.sort_by_key(|line| (line.customer != ALL, std::cmp::Reverse(line.level)));
    lines
}

fn line_text(line: &BurnLine) -> String {
    let mut text = format!(
        "{:<16}{:<16}{:<15}{:<8}{:<8}",
        line.pool, line.customer, line.objective, line.goal, line.level
    );
    for rate in &line.rates {
        let shown = rate
            .rate
            .map_or("-".to_owned(), |rate| format!("{rate:.2}"));
        // Writing to text never fails.
        let _ = write!(text, "{shown:>8}");
    }
    text
}

fn push_line(text: &mut String, line: &str) {
    text.push_str(line.trim_end());
    text.push('\n');
}
