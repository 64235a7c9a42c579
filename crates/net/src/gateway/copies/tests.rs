use std::sync::Arc;
use std::time::Duration;

use eelgrasshold_core::gateway::follow::FollowUpdate;
use eelgrasshold_core::platform::{Change, KindCall, KindReply, StoredObject};

use super::{COPY_WAIT, Copies, decode, encode, first_call, lock};

fn object(name: &str, version: u64) -> StoredObject {
    StoredObject {
        name: name.into(),
        version,
        value: vec![b'x'; 400],
    }
}

fn watch(after: u64) -> KindCall {
    KindCall::Watch {
        kind: "servers".into(),
        after,
        wait: Duration::from_secs(30),
    }
}

#[test]
fn replies_survive_encoding_and_malformed_ones_are_errors() {
    let reply = KindReply::Items {
        items: (0..200).map(|n| object(&format!("i-{n}"), n)).collect(),
        more: false,
        revision: 200,
    };
    let bytes = encode(&reply);
    assert!(bytes.len() < 20_000, "{} bytes", bytes.len());
    assert_eq!(decode(&bytes), Ok(reply));
    assert!(decode(&bytes[..bytes.len() / 2]).is_err());
    assert!(decode(&[]).is_err());
    assert!(decode(&[0xff; 64]).is_err());
}

/// Guards against hosts that learn of a change only when their watch runs out.
#[tokio::test(start_paused = true)]
async fn a_watch_is_answered_by_the_next_change() {
    let copies = Copies::default();
    let listed = FollowUpdate::All(vec![object("a", 3)], 3);
    copies.apply("servers", &listed, true, true);
    let change = FollowUpdate::Changes(vec![Change::Set(object("b", 5))], 5);
    let (answer, ()) = tokio::join!(copies.answer(watch(3)), async {
        tokio::time::sleep(Duration::from_millis(50)).await;
        copies.apply("servers", &change, true, true);
    });
    let changes = vec![Change::Set(object("b", 5))];
    let revision = 5;
    assert_eq!(
        decode(&answer),
        Ok(KindReply::Changes { changes, revision })
    );
}

/// Guards against hosts that follow a host which itself follows another one or has lost the store:
/// in a circle of such hosts nobody would notice a change.
#[tokio::test(start_paused = true)]
async fn a_host_that_does_not_reach_the_store_answers_for_nobody() {
    let copies = Copies::default();
    let listed = FollowUpdate::All(vec![object("a", 3)], 3);
    let failed = FollowUpdate::Failed {
        reason: "reset".into(),
    };
    let refuses = async || {
        let answer = decode(&copies.answer(watch(3)).await);
        matches!(answer, Ok(KindReply::Failed { .. }))
    };
    assert!(refuses().await);
    copies.apply("servers", &listed, false, true);
    assert!(refuses().await, "it follows another host");
    copies.apply("servers", &listed, true, true);
    assert!(!refuses().await);
    copies.apply("servers", &failed, true, true);
    assert!(refuses().await, "it lost the store");
    copies.apply("servers", &listed, true, true);
    copies.mark_behind();
    assert!(refuses().await, "others know more");
}

/// Guards against hosts that leave one whose next call to the store succeeds.
#[tokio::test(start_paused = true)]
async fn a_host_whose_call_failed_once_answers_after_the_next_one() {
    let copies = Copies::default();
    let listed = FollowUpdate::All(vec![object("a", 3)], 3);
    copies.apply("servers", &listed, true, true);
    let failed = FollowUpdate::Failed {
        reason: "no answer".into(),
    };
    copies.apply("servers", &failed, true, true);
    let first = KindCall::Watch {
        kind: "servers".into(),
        after: 3,
        wait: Duration::ZERO,
    };
    for call in [watch(3), first] {
        let change = FollowUpdate::All(vec![object("a", 3), object("b", 5)], 5);
        let (answer, ()) = tokio::join!(copies.answer(call), async {
            tokio::time::sleep(Duration::from_millis(300)).await;
            copies.apply("servers", &change, true, true);
        });
        let changes = vec![Change::Set(object("b", 5))];
        let revision = 5;
        assert_eq!(
            decode(&answer),
            Ok(KindReply::Changes { changes, revision })
        );
        copies.apply("servers", &failed, true, true);
    }
    copies.apply("servers", &failed, true, true);
    let began = tokio::time::Instant::now();
    let answer = decode(&copies.answer(watch(5)).await);
    assert!(matches!(answer, Ok(KindReply::Failed { .. })));
    assert_eq!(began.elapsed(), Duration::ZERO, "two calls have failed");
}

/// Guards against silent hosts that cost the whole time of a watch each.
#[tokio::test(start_paused = true)]
async fn the_first_watch_on_a_link_is_answered_at_once() {
    let copies = Copies::default();
    let listed = FollowUpdate::All(vec![object("a", 3)], 3);
    copies.apply("servers", &listed, true, true);
    let (call, limit) = first_call(watch(3));
    assert!(limit < COPY_WAIT);
    let began = tokio::time::Instant::now();
    let answer = decode(&copies.answer(call).await);
    let unchanged = KindReply::Changes {
        changes: Vec::new(),
        revision: 3,
    };
    assert_eq!(answer, Ok(unchanged));
    assert!(began.elapsed() < Duration::from_millis(10));
}

/// Guards against a change that is left out of an answer and counts as told by its revision.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_change_at_the_end_of_a_watch_is_not_passed_over() {
    let copies = Arc::new(Copies::default());
    let listed = FollowUpdate::All(vec![object("a", 3)], 3);
    copies.apply("servers", &listed, true, true);
    let watcher = Arc::clone(&copies);
    let watching = tokio::spawn(async move { watcher.answer(watch(3)).await });
    tokio::time::sleep(COPY_WAIT.saturating_sub(Duration::from_millis(100))).await;
    let changed = Arc::clone(&copies);
    let changing = tokio::task::spawn_blocking(move || {
        // The watch ends while the change is being applied.
        let mut mirror = lock(&changed.mirror);
        std::thread::sleep(Duration::from_millis(200));
        let change = FollowUpdate::Changes(vec![Change::Set(object("b", 5))], 5);
        mirror.apply("servers", &change);
    });
    changing.await.unwrap();
    let told = decode(&watching.await.unwrap()).unwrap();
    let KindReply::Changes { changes, revision } = told else {
        panic!("{told:?}");
    };
    assert!(
        revision < 5 || !changes.is_empty(),
        "revision {revision} without its change"
    );
}
