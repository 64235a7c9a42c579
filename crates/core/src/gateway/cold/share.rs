//! Share of one host in the rate of a cold upstream.

use super::permits::PERMIT_VALIDITY;

/// Hosts that a host assumes at least while it may not know the others. Fleets have up to 149.
pub(super) const MIN_HOSTS_WHILE_NEW: usize = 150;
/// Standard deviations between the mean number of requests in a second of a surge and the bound.
/// With none, 3 of 300 simulated surges of a fleet of 149 hosts exceeded the bound, with up to 42
/// requests of 39.5; with three, there were up to 38, which leaves too little for hosts that know only
/// some of the others; with this number, up to 33.
const DEVIATIONS: f64 = 4.5;
/// Factor by which the rate is lowered until it meets the bound.
const REDUCTION: f64 = 0.98;
/// Part of the rate below which it is not lowered any more: such a bound allows no requests.
const MIN_PART: f64 = 1e-3;

/// Requests a second that one of `hosts` may send to a cold upstream that may get `per_s` of all hosts.
/// Less than an equal share, if the number in some second could exceed `most`.
pub(super) fn share(per_s: f64, most: f64, hosts: usize) -> f64 {
    let hosts = hosts.max(1) as f64;
    let mut rate = per_s.min(most.max(0.0));
    while rate > per_s * MIN_PART && peak(rate, hosts) > most {
        rate *= REDUCTION;
    }
    rate / hosts
}

/// Number of requests in a second that is not exceeded in practice. In the first second of a surge,
/// hosts also use the permits of the time before that have not expired. As permits are issued at
/// regular intervals, each host has one of two neighbouring numbers of them.
fn peak(rate: f64, hosts: f64) -> f64 {
    let mean = rate * (1.0 + PERMIT_VALIDITY.as_secs_f64());
    let part = (mean / hosts).fract();
    let deviation = (hosts * part * (1.0 - part)).sqrt();
    (mean + DEVIATIONS * deviation).min(hosts * (mean / hosts).ceil())
}
