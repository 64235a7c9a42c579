use super::*;

fn recording(bytes: usize) -> Recording {
    let mut recording = Recording::new(StatusCode::OK, HeaderMap::new());
    recording.push(&vec![0; bytes]);
    recording
}

// Guards against memory that grows with the number of non-idempotent requests.
#[test]
fn oldest_answers_are_evicted_at_the_size_limit() {
    let stored = StoredAnswers::default();
    for handle in 0..200 {
        stored.store(handle, recording(60_000));
    }
    assert!(stored.get(0).is_none());
    assert_eq!(stored.get(199).unwrap().body.len(), 60_000);
    assert!(stored.inner.lock().unwrap().bytes <= MAX_TOTAL_BYTES);
}

// Guards against a replay of a partially recorded answer.
#[test]
fn too_large_answer_is_not_stored() {
    let stored = StoredAnswers::default();
    stored.store(1, recording(MAX_ANSWER_BYTES + 1));
    assert!(stored.get(1).is_none());
}
