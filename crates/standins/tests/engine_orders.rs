//! Tests of orders, expert maps, KV caches and cache events of the model engine stand-in.

use std::time::Duration;

use eelgrasshold_standins::client::{Answer, Client};
use eelgrasshold_standins::engine::{
    Armed, Attempt, CacheEvents, Group, KvCache, Loaded, Map, MapChange, MapId, ModelEngine, Order,
    OrderAnswer, RankAnswer, RankState, Role, block_hashes,
};
use http::{Method, StatusCode};
use serde_json::json;

async fn call(engine: &ModelEngine, method: Method, path: &str, body: String) -> Answer {
    let url = format!("http://{}{path}", engine.address());
    let id = [("x-request-id", "r1")];
    Client::new().send(method, &url, &id, body).await.unwrap()
}

async fn get<T: serde::de::DeserializeOwned>(engine: &ModelEngine, path: &str) -> T {
    let answer = call(engine, Method::GET, path, String::new()).await;
    serde_json::from_slice(&answer.body).unwrap()
}

async fn order(engine: &ModelEngine, fence: u64, order: &Order) -> (StatusCode, OrderAnswer) {
    let body = json!({"fence": fence, "order": order}).to_string();
    let answer = call(engine, Method::POST, "/v1/orders", body).await;
    (answer.status, serde_json::from_slice(&answer.body).unwrap())
}

fn load(version: &str) -> Order {
    Order::LoadModel {
        model: "m".into(),
        version: version.into(),
    }
}

/// Guards against an engine that executes an outdated order although it honours
/// fencing, and against one that refuses it although it ignores fencing.
#[tokio::test]
async fn fencing_is_honoured_or_ignored_by_setting() {
    for honours in [true, false] {
        let engine = ModelEngine::builder()
            .honours_fencing(honours)
            .start()
            .unwrap();
        assert_eq!(order(&engine, 5, &load("new")).await.0, StatusCode::OK);
        let (status, answer) = order(&engine, 4, &load("old")).await;
        let state: RankState = get(&engine, "/v1/map").await;
        let loaded: Loaded = get(&engine, "/v1/models").await;
        if honours {
            assert_eq!(status, StatusCode::CONFLICT);
            assert_eq!(answer, OrderAnswer::FenceRefused { highest: 5 });
            assert_eq!(
                (state.highest_fence, &*loaded.models["m"]),
                (Some(5), "new")
            );
            assert_eq!(engine.orders().len(), 1);
        } else {
            assert_eq!((status, answer), (StatusCode::OK, OrderAnswer::Done));
            assert_eq!((state.highest_fence, &*loaded.models["m"]), (None, "old"));
            assert_eq!(engine.orders().len(), 2);
        }
        engine.close().await;
    }
}

/// Guards against orders that are acknowledged without an effect, and against
/// malformed orders that are accepted.
#[tokio::test]
async fn orders_change_what_is_loaded() {
    let engine = ModelEngine::builder().start().unwrap();
    let adapter = Order::LoadAdapter {
        adapter: "a".into(),
        version: "1".into(),
    };
    let role = Order::ChangeRole {
        role: Role::Prefill,
    };
    for wanted in [load("1"), load("2"), adapter, role] {
        assert_eq!(order(&engine, 1, &wanted).await.1, OrderAnswer::Done);
    }
    let loaded: Loaded = get(&engine, "/v1/models").await;
    let expected = Loaded {
        models: [("m".into(), "2".into())].into(),
        adapters: [("a".into(), "1".into())].into(),
        role: Role::Prefill,
    };
    assert_eq!(loaded, expected);
    for body in ["{}", r#"{"fence":1,"order":"fly"}"#] {
        let answer = call(&engine, Method::POST, "/v1/orders", body.into()).await;
        assert_eq!(answer.status, StatusCode::BAD_REQUEST);
    }
    engine.kill().await;
    assert_eq!(engine.loaded(), Loaded::default());
    engine.close().await;
}

fn armed(step: u64) -> Armed {
    let attempt = Attempt {
        fence: 1,
        sequence: 1,
    };
    Armed {
        id: MapId {
            version: 1,
            attempt,
        },
        step,
        change: MapChange::default(),
        committed: false,
    }
}

async fn wait_until(condition: impl Fn() -> bool) {
    while !condition() {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

/// Guards against a group that runs a step on some ranks only, and against a
/// counter of mixed maps that never counts.
#[tokio::test(start_paused = true)]
async fn group_holds_a_step_until_all_ranks_can_start_it() {
    let engines: Vec<ModelEngine> = (0..3)
        .map(|_| ModelEngine::builder().start().unwrap())
        .collect();
    let group = Group::start(&engines, Duration::from_millis(40));
    wait_until(|| group.held() >= 2).await;
    assert_eq!(group.started(), 0, "ranks without a map ran a step");

    let install = Order::Install {
        map: Map::default(),
        next: None,
    };
    for engine in &engines {
        let installed = OrderAnswer::Rank(RankAnswer::Installed);
        assert_eq!(order(engine, 1, &install).await.1, installed);
    }
    wait_until(|| group.started() >= 2).await;
    let step = engines[0].rank().step + 1_000;
    let attempt = armed(step).id.attempt;
    for engine in &engines {
        let answer = order(engine, 1, &Order::Arm(armed(step))).await.1;
        assert_eq!(answer, OrderAnswer::Rank(RankAnswer::Armed(attempt)));
    }
    let held = group.held();
    wait_until(|| group.held() > held).await;
    assert_eq!(engines[0].rank().step, step);
    for engine in &engines {
        assert_eq!(
            order(engine, 1, &Order::Commit(attempt)).await.0,
            StatusCode::OK
        );
    }
    wait_until(|| engines[0].rank().step > step + 1).await;
    assert!(
        engines
            .iter()
            .all(|e| e.rank().map.unwrap().id == armed(step).id)
    );
    assert_eq!(group.mixed(), 0);

    let other = Order::SetMap {
        map: Map::default(),
    };
    order(&engines[1], 1, &other).await;
    wait_until(|| group.mixed() > 0).await;
    group.close().await;
    for engine in engines {
        engine.close().await;
    }
}

/// Guards against an imported KV cache that is not used.
#[tokio::test(start_paused = true)]
async fn imported_kv_cache_saves_the_prefill() {
    let source = ModelEngine::builder().start().unwrap();
    let target = ModelEngine::builder().start().unwrap();
    let prompt = "a".repeat(400);
    let body = json!({"prompt": prompt, "max_tokens": 3}).to_string();
    call(&source, Method::POST, "/v1/completions", body).await;
    let cache: KvCache = get(&source, "/v1/kv/r1").await;
    assert_eq!(cache.tokens, 3);

    let cache = serde_json::to_string(&cache).unwrap();
    let imported = call(&target, Method::PUT, "/v1/kv/r1", cache).await;
    assert_eq!(imported.status, StatusCode::NO_CONTENT);
    let body = json!({"prompt": prompt, "max_tokens": 5, "resume_from": 3}).to_string();
    call(&target, Method::POST, "/v1/completions", body).await;
    assert_eq!(target.counters().prefilled_tokens, 0);
    let missing = call(&target, Method::GET, "/v1/kv/other", String::new()).await;
    assert_eq!(missing.status, StatusCode::NOT_FOUND);
    source.close().await;
    target.close().await;
}

/// Guards against cache events with hashes other than those of the prompt's blocks.
#[tokio::test]
async fn cache_events_contain_the_block_hashes_of_the_prompt() {
    let engine = ModelEngine::builder()
        .event_lag(Duration::ZERO)
        .start()
        .unwrap();
    let prompt = "a".repeat(300);
    let body = json!({"prompt": prompt, "max_tokens": 1}).to_string();
    call(&engine, Method::POST, "/v1/completions", body).await;
    let events: CacheEvents = get(&engine, "/v1/cache-events?after=0").await;
    let mut blocks: Vec<u64> = events.events.iter().map(|event| event.block).collect();
    blocks.reverse();
    assert_eq!(blocks, block_hashes(&prompt));
    let later: CacheEvents = get(&engine, "/v1/cache-events?after=2").await;
    assert_eq!(later.events, []);
    engine.close().await;
}
