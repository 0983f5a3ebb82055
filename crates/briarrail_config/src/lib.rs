//! The tables as they stand in the object API.
//!
//! An edit is accepted by one conditional update of a small head object. [`ConfigState`] applies
//! accepted edits in their order, on routers as in the editor.
//!
//! The head carries the latest edits. Older edits stand in segments, and the rows of both tables
//! as of some edit stand in shards, which a base object lists. Segments, shards and bases are
//! written before the head refers to them and never change. [`ConfigReader`] follows the head;
//! [`ConfigEditor`] submits edits.
//!
//! # Why this layout
//!
//! - One object with both tables would end at the size limit of a value, and would be read whole
//!   after each edit.
//! - One object for each row has no order of edits: a router that lists rows sees some of an edit
//!   and not the rest, and a lost reply can't be told from another operator's write.
//! - A log of one object for each edit needs a list call to find its end, and grows for ever.
//!
//! The head keeps the order, stays at a few kilobytes for the routers that read it after each
//! edit, and is the only object that is ever updated.

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
mod part_sweep;
mod read_error;
mod row_change;
mod shard_object;
mod submit_error;
mod update_plan;
mod write_trail;

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
/// Prefix of segments, shards and bases.
pub const PART_PREFIX: &str = "config/parts/";
