//! Applying edits to the state.

use briarrail_config::{ConfigState, EditErrorKind, RowChange};

use crate::row_fixtures::{edit_request, put_pool, put_route};

#[test]
fn consecutive_edits_are_applied_atomically() {
    let mut state = ConfigState::default();
    let create = edit_request(
        1,
        "ann",
        vec![put_pool("p", 2.0, 0), put_route("r", "p", 0)],
    );
    state.apply(&create.into_edit(1)).unwrap();
    let before = state.clone();
    let valid = edit_request(2, "ann", vec![put_pool("p", 3.0, 1)]).into_edit(2);
    let delete = RowChange::DeletePool {
        expected: 2,
        name: "p".into(),
    };
    let invalid = edit_request(3, "bob", vec![delete]).into_edit(3);
    let error = state.apply_all(&[valid.clone(), invalid]).unwrap_err();
    assert!(matches!(error.kind, EditErrorKind::Invalid(_)), "{error}");
    assert_eq!(state, before);
    state.apply(&valid).unwrap();
    assert_eq!(state.snapshot().tables.pools[0].stamp.version, 2);
}

#[test]
fn rejected_edit_rolls_back_creations_changes_and_deletions() {
    let mut state = ConfigState::default();
    let create = vec![
        put_pool("a", 2.0, 0),
        put_pool("c", 2.0, 0),
        put_route("r", "a", 0),
        put_route("s", "a", 0),
    ];
    state
        .apply(&edit_request(1, "ann", create).into_edit(1))
        .unwrap();
    let before = state.clone();
    let delete = RowChange::DeleteRoute {
        expected: 1,
        name: "r".into(),
    };
    let changes = vec![
        put_pool("b", 2.0, 0),
        put_pool("a", 3.0, 1),
        delete,
        put_route("t", "nowhere", 0),
    ];
    state
        .apply(&edit_request(2, "bob", changes).into_edit(2))
        .unwrap_err();
    assert_eq!(state, before);
}

#[test]
fn edit_out_of_sequence_is_rejected() {
    let mut state = ConfigState::default();
    let edit = edit_request(1, "ann", vec![put_pool("p", 2.0, 0)]).into_edit(2);
    let error = state.apply(&edit).unwrap_err();
    let expected = EditErrorKind::OutOfSequence {
        current: 0,
        found: 2,
    };
    assert_eq!(error.kind, expected);
}
