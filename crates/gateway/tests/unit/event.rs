//! Event streams that arrive in pieces, are cut off within an event, or repeat events after a resume.

use super::*;

fn push(splitter: &mut EventSplitter, text: &'static str) -> String {
    String::from_utf8(splitter.push(Bytes::from_static(text.as_bytes())).to_vec()).expect("text")
}

#[test]
fn only_complete_events_are_returned() {
    let mut splitter = EventSplitter::default();
    let parts = ["id: 1\ndata: a\n", "\nid: 2\nda", "ta: b\n\nid: 3\n", "data: c\n\n"];
    let out: Vec<String> = parts.iter().map(|part| push(&mut splitter, part)).collect();
    assert_eq!(
        out,
        ["", "id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n", "id: 3\ndata: c\n\n"],
        "each event is returned as soon as it is complete"
    );
    assert_eq!((splitter.count(), splitter.last_id()), (3, Some(3)));
}

#[test]
fn a_resumed_stream_leaves_out_events_already_returned() {
    let mut splitter = EventSplitter::default();
    push(&mut splitter, "id: 1\ndata: a\n\nid: 2\ndata: to");
    splitter.discard_partial();
    let out = push(&mut splitter, "id: 1\ndata: a\n\nid: 2\ndata: torn\n\nid: 3\ndata: c\n\n");
    assert_eq!(out, "id: 2\ndata: torn\n\nid: 3\ndata: c\n\n");
    assert_eq!(splitter.count(), 3);
    assert!(!splitter.is_inside_event());
}

#[test]
fn lines_may_end_with_a_carriage_return() {
    let mut splitter = EventSplitter::default();
    let parts = ["id: 1\r\ndata: a\r\n", "\r\nid: 2\r\ndata: b\r\n\r", "\nid: 3\r\n"];
    let out: Vec<String> = parts.iter().map(|part| push(&mut splitter, part)).collect();
    assert_eq!(out, ["", "id: 1\r\ndata: a\r\n\r\n", "id: 2\r\ndata: b\r\n\r\n"]);
    assert_eq!((splitter.count(), splitter.last_id()), (2, Some(2)));
    assert!(splitter.is_inside_event());
}

#[test]
fn empty_lines_and_comments_after_an_event_are_no_part_of_the_next_one() {
    for rest in ["\n", "\r\n", ": alive\n", "\n: alive"] {
        let mut splitter = EventSplitter::default();
        push(&mut splitter, "id: 1\ndata: a\n\n");
        push(&mut splitter, rest);
        assert!(!splitter.is_inside_event(), "{rest:?}");
        push(&mut splitter, "\nid: 2");
        assert!(splitter.is_inside_event(), "{rest:?}");
    }
}
