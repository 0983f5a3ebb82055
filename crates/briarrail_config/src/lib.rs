//! The tables as they stand in the object API.
//!
//! An edit is accepted by one conditional update of a small head object. [`ConfigState`] applies
//! accepted edits in their order, on routers as in the editor.

mod config_edit;
mod config_state;
mod edit_error;
mod row_change;

pub use config_edit::{ConfigEdit, EditId};
pub use config_state::ConfigState;
pub use edit_error::{EditError, EditErrorKind};
pub use row_change::RowChange;
