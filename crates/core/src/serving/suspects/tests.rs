use super::*;
use crate::types::HostId;

fn crash(number: u64) -> Suspect {
    Suspect {
        fingerprint: 1,
        crash: number,
        cleared: false,
    }
}

// Guards against a third crash by the same request, however often its crashes are told.
#[test]
fn fingerprint_is_blocked_after_two_crashes() {
    let mut suspects = Suspects::default();
    assert_eq!(suspects.verdict(1, None), Verdict::Free);
    suspects.record(Now::ZERO, crash(1));
    suspects.record(Now::ZERO, crash(1));
    assert_eq!(suspects.verdict(1, None), Verdict::Trial);
    suspects.record(Now::ZERO, crash(2));
    assert_eq!(suspects.verdict(1, None), Verdict::Blocked);
    assert_eq!(suspects.verdict(1, Some(2)), Verdict::Trial);
    assert_eq!(suspects.verdict(2, None), Verdict::Free);
}

// Guards against an innocent request that stays a suspect because its clearing came first.
#[test]
fn clearing_holds_against_a_late_message_of_the_crash() {
    let mut suspects = Suspects::default();
    suspects.record(Now::ZERO, crash(1));
    let cleared = suspects.clear(1);
    assert_eq!(cleared.len(), 1);
    let mut other = Suspects::default();
    other.record(Now::ZERO, cleared[0]);
    other.record(Now::ZERO, crash(1));
    assert_eq!(other.verdict(1, None), Verdict::Free);
    assert_eq!(suspects.verdict(1, None), Verdict::Free);
}

// Guards against suspects that are remembered for ever.
#[test]
fn crashes_are_forgotten_after_ten_minutes() {
    let mut suspects = Suspects::default();
    suspects.record(Now::ZERO, crash(1));
    suspects.expire(Now::from_secs(599));
    assert_eq!(suspects.verdict(1, None), Verdict::Trial);
    suspects.expire(Now::from_secs(600));
    assert_eq!(suspects.verdict(1, None), Verdict::Free);
}

// Guards against a trial that starts before every entry host knows of it, and against one
// that waits for a dead host for ever.
#[test]
fn share_ends_when_all_acknowledged_or_after_two_seconds() {
    let hosts: Vec<HostId> = vec!["entry-2".into(), "entry-3".into()];
    let mut sharing = SuspectBroadcasts::default();
    let id = sharing.start(Now::ZERO, hosts.iter().cloned().collect(), vec![crash(1)]);
    sharing.acknowledge(&hosts[0], &[crash(1)]);
    sharing.acknowledge(&hosts[1], &[crash(2)]);
    assert_eq!(sharing.take_ended(Now::ZERO), []);
    assert_eq!(sharing.next_resend(Now::ZERO), Some(Now::from_millis(200)));
    assert_eq!(sharing.next_resend(Now::from_millis(100)), None);
    assert_eq!(sharing.messages(), [(hosts[1].clone(), vec![crash(1)])]);
    assert_eq!(sharing.take_ended(Now::from_secs(2)), [(id, false)]);
    let id = sharing.start(Now::ZERO, hosts.iter().cloned().collect(), vec![crash(1)]);
    sharing.acknowledge(&hosts[0], &[crash(1)]);
    sharing.retain_hosts(&hosts[..1].iter().cloned().collect());
    assert_eq!(sharing.take_ended(Now::ZERO), [(id, true)]);
}
