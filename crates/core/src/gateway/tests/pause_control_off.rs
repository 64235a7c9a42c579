//! Choices of a gateway that does not limit streams by their pauses.

use std::sync::Arc;
use std::time::Duration;

use super::requests::{admit, gateway, route};
use super::{ms, upstream};
use crate::gateway::registry::UpstreamId;
use crate::gateway::routes::{BackendService, CallerTeam, EngineProfile, RouteKind, RouteTable};
use crate::gateway::{Admitted, Gateway, Next, Outcome};
use crate::types::Now;

const REQUESTS: u64 = 600;
/// Digest of the choices that the gateway made before it could limit streams, at 177da2d.
const DIGEST: u64 = 0x53c2_08fe_9e2a_eda5;

/// Folds a decision into a digest (FNV-1a).
fn fold(digest: &mut u64, text: &str) {
    for byte in text.bytes() {
        *digest = (*digest ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
    }
}

fn table() -> RouteTable {
    let mut table = RouteTable::new(3);
    let mut stream = route("/s/", RouteKind::Stream { resumable: true }, 2);
    stream.target_pause = Some(ms(120));
    table.add_route(stream);
    let team = CallerTeam { priority: Some(1) };
    table.add_team("shearers".into(), team, vec!["k".into()]);
    let engine = EngineProfile {
        usual_prompt: 100,
        usual_answer: 50,
        ..EngineProfile::default()
    };
    let service = BackendService {
        engine: Some(engine),
        ..BackendService::default()
    };
    table.services.insert("drafts".into(), service);
    table
}

struct Stream {
    request: Admitted,
    upstream: UpstreamId,
    ends_at: Now,
}

/// Ends the streams whose time has come; some of them fail.
fn end(gateway: &mut Gateway, now: Now, streams: &mut Vec<Stream>) {
    let (ended, left) = streams.drain(..).partition(|s| s.ends_at <= now);
    *streams = left;
    let ended: Vec<Stream> = ended;
    for (n, stream) in ended.into_iter().enumerate() {
        let outcome = if n == 2 {
            Outcome::GivenUp
        } else {
            Outcome::Answered
        };
        gateway.stream_ended("drafts", &stream.upstream, &stream.request.id, true);
        gateway.attempt_ended(now, &stream.upstream, stream.request.work, outcome);
    }
}

// Guards against a limit that changes choices, or draws random numbers, where it is not enabled.
#[test]
fn without_the_setting_choices_are_those_of_before() {
    let mut gateway = gateway(12);
    gateway.set_table(ms(0), Arc::new(table()));
    let mut upstreams: Vec<_> = (1..=12).map(upstream).collect();
    upstreams[3].slots = 2;
    gateway.registry.replace(ms(0), upstreams, 2);
    let mut digest = 0xcbf2_9ce4_8422_2325;
    let mut streams = Vec::new();
    for n in 0..REQUESTS {
        let now = ms(n * 9);
        end(&mut gateway, now, &mut streams);
        for _ in &streams {
            gateway.pauses.record_pause(now, "drafts", ms(400));
        }
        let mut request = admit(&mut gateway, now, "/s/x");
        match gateway.next(now, &mut request) {
            Next::Send(chosen, _) => {
                assert_eq!(request.ticket(), None, "a place in flight");
                fold(&mut digest, &chosen.id);
                gateway.stream_begun(now, "drafts", &chosen.id, &request.id);
                streams.push(Stream {
                    request,
                    upstream: chosen.id,
                    ends_at: now + Duration::from_millis(150 + n * 37 % 400),
                });
            }
            Next::Wait(time) => fold(&mut digest, &format!("wait {}", time.as_millis())),
            Next::Refuse(refusal) => {
                let delay = refusal.retry_after.map(|d| d.as_millis());
                fold(&mut digest, &format!("refuse {delay:?}"));
            }
            Next::Ask(..) => panic!("no upstream names a limit"),
        }
    }
    assert_eq!(gateway.pauses.states().count(), 0, "a limit");
    assert_eq!(digest, DIGEST, "{digest:#x}");
}
