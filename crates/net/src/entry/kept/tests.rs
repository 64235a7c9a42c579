use super::*;

fn recording(bytes: usize) -> Recording {
    let mut recording = Recording::new(StatusCode::OK, HeaderMap::new());
    recording.push(&vec![0; bytes]);
    recording
}

// Guards against memory that grows with the number of non-idempotent requests.
#[test]
fn oldest_answers_give_way() {
    let kept = KeptAnswers::default();
    for handle in 0..200 {
        kept.keep(handle, recording(60_000));
    }
    assert!(kept.get(0).is_none());
    assert_eq!(kept.get(199).unwrap().body.len(), 60_000);
    assert!(kept.inner.lock().unwrap().bytes <= MAX_TOTAL_BYTES);
}

// Guards against a replay of an answer that was recorded in part.
#[test]
fn too_large_answer_is_not_kept() {
    let kept = KeptAnswers::default();
    kept.keep(1, recording(MAX_ANSWER_BYTES + 1));
    assert!(kept.get(1).is_none());
}
