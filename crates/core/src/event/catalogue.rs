//! Catalogue of event kinds. `docs/events.md` lists the same kinds, which a test checks.
//!
//! Numbers are grouped: 1000 process, 2000 requests at entry hosts, 3000 work
//! at upstream processes, 4000 expert groups, 5000 membership, 6000
//! configuration, 7000 platform. The number of a removed kind is not reused.

macro_rules! catalogue {
    ($($kind:ident = $number:literal, $text:literal;)+) => {
        /// Kind of an event, with a stable number and name.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
        pub enum EventKind {
            $(#[doc = $text] $kind,)+
        }

        impl EventKind {
            /// All kinds in ascending order of their numbers.
            pub const ALL: &'static [Self] = &[$(Self::$kind),+];

            /// Stable number, whose thousands give the area.
            #[must_use]
            pub fn number(self) -> u16 {
                match self { $(Self::$kind => $number,)+ }
            }

            /// Stable name, the same as that of the variant.
            #[must_use]
            pub fn name(self) -> &'static str {
                match self { $(Self::$kind => stringify!($kind),)+ }
            }

            /// One-line description for operators.
            #[must_use]
            pub fn text(self) -> &'static str {
                match self { $(Self::$kind => $text,)+ }
            }
        }
    };
}

/// Importance of a kind's log lines when not all can be written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Importance {
    /// Occurs for each request, so it may be omitted under load.
    Routine,
    /// Reports a failure, or a change of state or of knowledge about other processes.
    Failure,
}

impl EventKind {
    /// Importance of the kind's log lines, which selects its rate limit.
    #[must_use]
    pub fn importance(self) -> Importance {
        match self {
            Self::RequestAdmitted
            | Self::RequestDispatched
            | Self::RequestFinished
            | Self::AttemptEnded
            | Self::CallerGone
            | Self::RankOrdered
            | Self::WorkQueued
            | Self::WorkStarted
            | Self::WorkFinished => Importance::Routine,
            _ => Importance::Failure,
        }
    }
}

catalogue! {
    DaemonStarted = 1001, "the daemon started";
    DaemonReady = 1002, "the daemon is ready to serve";
    DrainStarted = 1003, "a graceful shutdown began";
    DrainFinished = 1004, "all requests ended and the daemon stops";
    DrainCut = 1005, "the drain limit or a second signal cut requests";
    SettingsRefused = 1006, "the settings are invalid";
    SettingsReloaded = 1007, "the settings were read again";
    LinesLeftOut = 1008, "lines of the log were left out since there were too many";
    LinkFailed = 1009, "another process could not be asked";

    RequestAdmitted = 2001, "a request was admitted";
    RequestDispatched = 2002, "an attempt was dispatched";
    RequestFinished = 2003, "the whole answer was passed on";
    RequestRefused = 2004, "a request was refused";
    RequestRetried = 2005, "another attempt follows a failed one";
    RequestCut = 2006, "an answer was cut after it had begun";
    CallerGone = 2007, "the caller went away";
    ChunkDropped = 2008, "a late, duplicate or crossed chunk was dropped";
    BadInput = 2009, "a caller sent malformed or oversized input";
    PauseNoticed = 2010, "the process was paused and checks what it holds";
    RequestHedged = 2011, "a second attempt was sent while the first had not answered";
    ClaimsUnreadable = 2012, "a shard of claims has a value that no writer of claims wrote";
    SuspectNoted = 2013, "an upstream crashed while it ran a request";
    UpstreamEjected = 2014, "an upstream that is slower or fails more than its peers was ejected";
    UpstreamReturned = 2015, "an ejected upstream ended its probation";
    AttemptEnded = 2016, "an attempt ended";
    StreamResumed = 2017, "a stream goes on at another upstream after the last event";
    AnswerDropped = 2018, "bytes that are no answer to the request were dropped";
    QuarantineBegun = 2019, "requests with something in common are refused since upstreams ended under them";
    QuarantineLifted = 2020, "requests with something in common are no longer refused";
    RequestDelayed = 2021, "a request waits until an upstream that pauses takes requests";
    SuspectUnchecked = 2022, "whether an upstream crashed while it ran a request can't be told";
    LimitBegun = 2023, "requests begin to wait for the limit of streams that keeps pauses short";
    LimitEnded = 2024, "requests no longer wait for the limit of streams that keeps pauses short";
    RequestEvicted = 2025, "a body or an answer was given up since the host held too many bytes";
    TeamShareExpired = 2101, "no share of a team's limit came and the host falls back to an even part";

    WorkQueued = 3001, "work was queued";
    WorkStarted = 3002, "work was passed to the engine";
    WorkBounced = 3003, "work was returned without being started";
    WorkFinished = 3004, "the engine finished work";
    WorkFailed = 3005, "the engine failed work";
    WorkCancelled = 3006, "work was cancelled";
    WorkExpired = 3101, "queued work was returned because its deadline can't be met any more";

    LeaseAcquired = 4001, "the planner's lease was taken";
    LeaseLost = 4002, "the planner's lease ended or was lost";
    SwitchProposed = 4003, "all ranks loaded a map and a switch step was proposed";
    SwitchCommitted = 4004, "an engine took the commit of a map";
    SwitchAborted = 4005, "an engine went on with the present map";
    StepHeld = 4006, "an engine holds the switch step without a decision";
    OrderRefused = 4007, "an order with an old fencing number was refused";
    MapSwitched = 4008, "an engine started to use a new map";
    MapInstalled = 4009, "a new engine took the group's map";
    PlanMade = 4010, "a new map was planned";
    PlanGivenUp = 4011, "a planned map was given up";
    GroupLed = 4012, "the process leads its group";
    GroupNotLed = 4013, "another process leads the group";
    RolloutTakenOver = 4014, "the rollout of a silent process is finished by another";
    RankOrdered = 4015, "a rank was given an order";
    RanksFound = 4016, "ranks of the group were looked for";
    BranchSilent = 4017, "a branch of the group's tree did not answer";

    MemberJoined = 5001, "a process joined";
    MemberSuspected = 5002, "a process did not answer probes";
    MemberGone = 5003, "a process is gone";
    MemberLeaving = 5004, "a process is leaving";
    MemberConfirmed = 5005, "a suspected process showed that it lives";
    ProcessPaused = 5006, "the process itself was paused";
    HostIsolated = 5007, "the host hears no other entry host";
    DataCentreSilent = 5008, "a data centre does not answer";
    DataCentreBack = 5009, "a data centre answers again";
    UpstreamListed = 5101, "the registry lists a new upstream";
    UpstreamLeaving = 5102, "an upstream is leaving and takes nothing new";
    UpstreamLapsed = 5103, "an upstream's entry disappeared during an outage of the store";
    UpstreamRelisted = 5104, "a lapsed entry came back";
    UpstreamGone = 5105, "an upstream's entry is gone";
    EntryUnreadable = 5106, "an entry of the registry names no upstream";
    UpstreamPaused = 5107, "an upstream wants no requests from this host for a while";
    NoticeUnreadable = 5108, "what an upstream said of itself can't be read";
    UpstreamLimited = 5109, "an upstream named another limit of requests a second, or none any more";
    EvacuationBegun = 5110, "a data centre is evacuated and its upstreams get no requests";
    EvacuationEnded = 5111, "a data centre is no longer evacuated";
    UpstreamCold = 5115, "an upstream became cold, so that its requests are limited, or warm again";

    ConfigApplied = 6001, "a configuration came into force";
    ConfigRefused = 6002, "a configuration was refused";
    ConfigHeadWentBack = 6003, "a configuration with a revision that was in force before, but other content, was refused";
    ConfigWatchStarted = 6004, "the host watches the platform's configuration";
    ConfigWatchEnded = 6005, "the host no longer watches the platform's configuration";

    PlatformUnavailable = 7001, "the platform does not answer";
    PlatformRecovered = 7002, "the platform answers again";
    HistoryGone = 7003, "the store forgot its history and is read anew";
    PeerAsked = 7004, "another host was asked for what the store does not tell this one";
    StoreRestored = 7005, "the store was restored from a copy, and its revisions have gone back";
    StoreSourceChanged = 7006, "the host asks elsewhere for what the store says";
}
