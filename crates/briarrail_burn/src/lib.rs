//! Multi-window burn rates of service-level objectives (SLOs) and their report.
//!
//! Each router records its requests in a [`BurnRecorder`] and sends a [`BurnSnapshot`] to the
//! operator's tool, which merges the snapshots of all routers into a [`BurnReport`].

mod alert_level;
mod burn_chart;
mod burn_line;
mod burn_recorder;
mod burn_report;
mod burn_snapshot;
mod burn_window;
mod count_ring;
mod objective_counts;
mod objective_kind;
mod request_record;
mod series_recorder;
mod stream_timer;

pub use alert_level::AlertLevel;
pub use burn_chart::ChartError;
pub use burn_line::{BurnLine, WindowRate};
pub use burn_recorder::BurnRecorder;
pub use burn_report::BurnReport;
pub use burn_snapshot::{BurnSnapshot, CustomerCounts, PoolCounts, TimelinePoint, WindowCounts};
pub use burn_window::BurnWindow;
pub use objective_counts::{EventCount, ObjectiveCounts};
pub use objective_kind::ObjectiveKind;
pub use request_record::{OutcomeClass, RequestRecord};
pub use stream_timer::{StreamCounts, StreamTimer};
