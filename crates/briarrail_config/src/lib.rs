//! Storage of the routes and pools tables in the object API.
//!
//! One conditional update of a small head object accepts an edit. [`ConfigState`] applies accepted
//! edits in sequence, both on routers and in the editor.
//!
//! The head holds the latest edits. Older edits are stored in segments. A base object is a snapshot
//! of both tables as of one edit; it lists the shards that store the rows. Segments, shards and
//! bases are called parts: they are written before the head refers to them, and are never modified.
//! [`ConfigReader`] reads the head and the parts; [`ConfigEditor`] submits edits.
//!
//! # Why this layout
//!
//! - A single object with both tables would be bounded by the maximum size of a value, and routers
//!   would have to read all of it after each edit.
//! - One object per row gives edits no order: a router that lists the rows can see part of an edit,
//!   and after a lost reply an editor can't tell its own write from another operator's.
//! - A log with one object per edit needs a list call to find its end, and grows without bound.
//!
//! The head defines the order of edits, stays at a few kilobytes for the routers that read it after
//! each edit, and is the only object that is ever updated.

mod attempt_error;
mod base_object;
mod config_edit;
mod config_editor;
mod config_reader;
mod config_state;
mod config_update;
mod edit_error;
mod edit_receipt;
mod edit_request;
mod head_object;
mod layout_limits;
mod lost_write_tracker;
mod part_cleanup;
mod read_error;
mod row_change;
mod shard_object;
mod submit_error;
mod update_plan;

pub use base_object::{BaseObject, ShardRef};
pub use config_edit::{ConfigEdit, EditId};
pub use config_editor::ConfigEditor;
pub use config_reader::{ConfigReader, VersionedHead};
pub use config_state::ConfigState;
pub use config_update::ConfigUpdate;
pub use edit_error::{EditError, EditErrorKind};
pub use edit_receipt::{EditLookup, EditReceipt};
pub use edit_request::EditRequest;
pub use head_object::{BaseRef, HeadObject, SegmentRef};
pub use layout_limits::LayoutLimits;
pub use read_error::{ReadError, ReadErrorKind};
pub use row_change::RowChange;
pub use shard_object::ShardObject;
pub use submit_error::{SubmitError, SubmitErrorKind};
pub use update_plan::{PlanInput, StoredPart, UpdatePlan, plan_update};

/// Key of the head object; its conditional update accepts an edit.
pub const HEAD_KEY: &str = "config/head";
/// Key prefix of the parts: segments, shards and bases.
pub const PART_PREFIX: &str = "config/parts/";
