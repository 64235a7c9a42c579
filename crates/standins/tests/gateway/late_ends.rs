//! Requests that end each replica which runs them, some time after it began to answer.

use std::time::{Duration, Instant};

use eelgrasshold_standins::users::{BeforeEnd, Replica};
use futures::future::join_all;

use super::cluster::{Cluster, request, send};

/// Ends after which a request has to be recognized.
const MAX_ENDS: usize = 3;
/// Time from the last of these ends until all hosts have to refuse the request.
const SETTLE_TIME: Duration = Duration::from_secs(3);
/// Retries that may reach replicas after that.
const MAX_LATE_RETRIES: usize = 3;
/// Time for which a replica is down after its end.
const DOWN_TIME: Duration = Duration::from_secs(1);
/// Time between two sends of the request, and of others at each gateway.
const INTERVAL: Duration = Duration::from_millis(400);
/// Sends until the request has ended enough replicas and has to be refused, and some more.
const SENDS: u32 = 20;
/// Events of a stream of the stand-ins.
const STREAM_EVENTS: u64 = 6;

/// Plays a request that comes again and again at the gateways in turn, beside sound ones, each sent once.
struct Play {
    cluster: Cluster,
    path: &'static str,
    sends: BeforeEnd,
    /// Time between two sends of the fatal request.
    interval: Duration,
    /// Sound requests that were not answered whole.
    lost: usize,
    sound: usize,
}

impl Play {
    async fn start(path: &'static str, sends: BeforeEnd) -> Self {
        let cluster = Cluster::start(6, 2).await;
        for replica in &cluster.replicas {
            replica.end_after("fatal", DOWN_TIME, sends);
        }
        Self {
            cluster,
            path,
            sends,
            interval: INTERVAL,
            lost: 0,
            sound: 0,
        }
    }

    fn ends(&self) -> Vec<Instant> {
        let ends = self.cluster.replicas.iter().flat_map(Replica::ends);
        let mut ends: Vec<Instant> = ends.collect();
        ends.sort_unstable();
        ends
    }

    /// Sends the fatal request, and sound ones at least as often, at intervals.
    async fn run(&mut self, time: Duration) {
        let until = Instant::now() + time;
        let sends_per_fatal = self.interval.div_duration_f64(INTERVAL).round() as usize;
        let mut sound = Vec::new();
        for n in 0.. {
            if Instant::now() >= until {
                break;
            }
            if n % sends_per_fatal == 0 {
                let gateway = &self.cluster.gateways[n / sends_per_fatal % 2];
                let address = gateway.callers_address();
                let fatal = request("POST", self.path, &format!("fatal-{}-{n}", self.sound));
                tokio::spawn(async move { send(address, &fatal).await });
            }
            for gateway in &self.cluster.gateways {
                let address = gateway.callers_address();
                let id = format!("s-{}-{}", self.sound, sound.len());
                let text = request("POST", &format!("/stream/{id}"), &id);
                sound.push(tokio::spawn(async move { send(address, &text).await }));
            }
            tokio::time::sleep(INTERVAL).await;
        }
        self.sound += sound.len();
        let answers = join_all(sound).await;
        let is_lost = |a: &Result<super::cluster::Answer, _>| !matches!(a, Ok(a) if a.status == 200 && a.complete);
        self.lost += answers.iter().filter(|a| is_lost(a)).count();
    }

    /// Arrivals of the fatal request at replicas after a moment, but for those that resume a stream.
    fn arrivals_after(&self, at: Instant) -> usize {
        let arrivals = self.cluster.replicas.iter().flat_map(Replica::arrivals);
        let late = arrivals.filter(|a| a.path == self.path && a.at.is_some_and(|t| t > at));
        late.filter(|a| a.header("last-event-id").is_empty())
            .count()
    }

    /// Plays until the fatal request has to be refused, and checks that it is, and that others are served.
    async fn check(mut self, sends_until_refused: u32) {
        let sends = self.sends;
        self.run(self.interval * sends_until_refused).await;
        let ends = self.ends();
        assert!(ends.len() >= MAX_ENDS, "{sends:?}: {} ends", ends.len());
        let late = self.arrivals_after(ends[MAX_ENDS - 1] + SETTLE_TIME);
        assert!(
            late <= MAX_LATE_RETRIES,
            "{sends:?}: {late} late retries, {} ends",
            ends.len()
        );
        // Replicas have started again by now.
        let lost = self.lost;
        self.run(Duration::from_secs(2)).await;
        assert_eq!(self.lost, lost, "{sends:?}: sound requests are served");
    }
}

/// Plays a request that ends replicas after a part of its answer, and checks that it is refused.
async fn check(path: &'static str, sends: BeforeEnd) {
    Play::start(path, sends).await.check(SENDS).await;
}

// Guards against a request that counts as sound since an upstream went on with it for a few events, and ends
// one upstream after the other.
#[tokio::test]
async fn a_request_that_ends_replicas_after_some_events_is_refused_when_it_comes_again() {
    let plays = [1, 3, 4].map(|n| check("/stream/fatal", BeforeEnd::Events(n)));
    join_all(plays).await;
}

// Guards against a request that counts as sound since a second upstream supplied the short rest of its stream.
#[tokio::test]
async fn a_request_whose_rest_is_answered_elsewhere_is_refused_when_it_comes_again() {
    check("/stream/fatal", BeforeEnd::Events(STREAM_EVENTS - 1)).await;
}

// Guards against a request that counts as sound since it was answered whole, although its upstream ended right
// after.
#[tokio::test]
async fn a_request_that_ends_replicas_after_its_answer_is_refused_when_it_comes_again() {
    let ends_after = |ms| BeforeEnd::Whole(Duration::from_millis(ms));
    tokio::join!(
        check("/stream/fatal", ends_after(5)),
        check("/stream/fatal", ends_after(150)),
        check("/safe/fatal", ends_after(5)),
    );
}

// Guards against a request that is given up at silent upstreams, which end under it seconds later.
#[tokio::test]
async fn a_request_that_ends_replicas_long_after_it_was_given_up_is_refused_when_it_comes_again() {
    let silence = Duration::from_millis(2_300);
    let mut play = Play::start("/stream/fatal", BeforeEnd::Silence(2, silence)).await;
    // No other attempt is in flight at its end.
    play.interval = Duration::from_millis(2_400);
    play.check(10).await;
}

// Guards against an upstream that is taken for alive since the system still accepted a connection for it as
// it ended.
#[tokio::test]
async fn a_request_is_refused_whose_replicas_accept_connections_as_they_end() {
    let play = Play::start("/stream/fatal", BeforeEnd::Head).await;
    for replica in &play.cluster.replicas {
        replica.accept_after_end(Duration::from_millis(30));
    }
    play.check(SENDS).await;
}
