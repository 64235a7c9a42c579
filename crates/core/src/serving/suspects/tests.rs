use super::*;
use crate::types::HostId;

fn crash(number: u64) -> Suspect {
    Suspect {
        fingerprint: 1,
        crash: number,
        cleared: false,
    }
}

// Guards against a third crash by the same request, and against counting a crash twice when its
// report is repeated.
#[test]
fn fingerprint_is_blocked_after_two_crashes() {
    let mut suspects = Suspects::default();
    assert_eq!(suspects.verdict(1, None), Verdict::Unrestricted);
    suspects.record(Now::ZERO, crash(1));
    suspects.record(Now::ZERO, crash(1));
    assert_eq!(suspects.verdict(1, None), Verdict::Trial);
    suspects.record(Now::ZERO, crash(2));
    assert_eq!(suspects.verdict(1, None), Verdict::Blocked);
    assert_eq!(suspects.verdict(1, Some(2)), Verdict::Trial);
    assert_eq!(suspects.verdict(2, None), Verdict::Unrestricted);
}

// Guards against a request that stays a suspect because its clearance arrived before the report of
// the crash.
#[test]
fn clearance_overrides_a_late_report_of_the_crash() {
    let mut suspects = Suspects::default();
    suspects.record(Now::ZERO, crash(1));
    let cleared = suspects.clear(1);
    assert_eq!(cleared.len(), 1);
    let mut other = Suspects::default();
    other.record(Now::ZERO, cleared[0]);
    other.record(Now::ZERO, crash(1));
    assert_eq!(other.verdict(1, None), Verdict::Unrestricted);
    assert_eq!(suspects.verdict(1, None), Verdict::Unrestricted);
}

// Guards against suspects that never expire.
#[test]
fn crashes_expire_after_ten_minutes() {
    let mut suspects = Suspects::default();
    suspects.record(Now::ZERO, crash(1));
    suspects.expire(Now::from_secs(599));
    assert_eq!(suspects.verdict(1, None), Verdict::Trial);
    suspects.expire(Now::from_secs(600));
    assert_eq!(suspects.verdict(1, None), Verdict::Unrestricted);
}

// Guards against a trial that starts before all entry hosts have been notified, and against one
// that waits for a failed host forever.
#[test]
fn broadcast_ends_when_all_acknowledged_or_after_two_seconds() {
    let hosts: Vec<HostId> = vec!["entry-2".into(), "entry-3".into()];
    let mut broadcasts = SuspectBroadcasts::default();
    let id = broadcasts.start(Now::ZERO, hosts.iter().cloned().collect(), vec![crash(1)]);
    broadcasts.acknowledge(&hosts[0], &[crash(1)]);
    broadcasts.acknowledge(&hosts[1], &[crash(2)]);
    assert_eq!(broadcasts.take_ended(Now::ZERO), []);
    assert_eq!(
        broadcasts.next_resend(Now::ZERO),
        Some(Now::from_millis(200))
    );
    assert_eq!(broadcasts.next_resend(Now::from_millis(100)), None);
    assert_eq!(broadcasts.messages(), [(hosts[1].clone(), vec![crash(1)])]);
    assert_eq!(broadcasts.take_ended(Now::from_secs(2)), [(id, false)]);
    let id = broadcasts.start(Now::ZERO, hosts.iter().cloned().collect(), vec![crash(1)]);
    broadcasts.acknowledge(&hosts[0], &[crash(1)]);
    broadcasts.retain_hosts(&hosts[..1].iter().cloned().collect());
    assert_eq!(broadcasts.take_ended(Now::ZERO), [(id, true)]);
}
