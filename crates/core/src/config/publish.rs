//! Publishes a configuration: shards first, then the head by conditional update.
//!
//! The head is the only object that decides. An answer that was lost is
//! settled by reading the head back: it carries the random number of the
//! publication that wrote it, and those of the ones before.

use std::collections::BTreeMap;

use super::shard::{HEAD_KEY, Head, ShardHash, join, shard_key, split};
use super::{Config, Difference, diff};
use crate::platform::{Call, CallId, Condition, Reply, Version};
use crate::types::Revision;

/// Times that a call without an answer is sent again.
const MAX_TRIES: u32 = 5;

/// What the publication is told.
#[derive(Clone, Debug)]
pub enum PublishInput {
    /// Begin, with the highest revision in force in the fleet; 0 if unknown.
    Start(Revision),
    /// The reply to a call.
    Reply {
        /// Id of the call.
        id: CallId,
        /// The reply.
        reply: Reply,
    },
}

/// What the driver shall do.
#[derive(Clone, Debug, PartialEq)]
pub enum PublishOutput {
    /// Call the platform.
    Platform {
        /// Id for the reply.
        id: CallId,
        /// The call.
        call: Call,
    },
    /// The publication ended.
    Done(PublishOutcome),
}

/// How a publication ended.
#[derive(Clone, Debug, PartialEq)]
pub enum PublishOutcome {
    /// The configuration is the platform's present one, or was until others published on top.
    Accepted(Revision),
    /// Someone else published since the base was read; nothing was changed.
    Conflict {
        /// Revision of the present configuration.
        revision: Revision,
        /// What they changed since the base.
        changed: Vec<Difference>,
    },
    /// The platform doesn't answer. `unknown` if the head may have been written all the same.
    Unavailable {
        /// Whether it may have taken effect.
        unknown: bool,
    },
    /// The configuration or the platform's present one can't be used.
    Refused(String),
}

#[derive(Clone, Debug, PartialEq)]
enum Step {
    Idle,
    ReadHead,
    WriteShard(ShardHash),
    WriteHead,
    ReadBack,
    ReadOther(ShardHash),
    Done,
}

/// One publication, driven as `handle(input) -> outputs`. Only one call is open at a time.
#[derive(Clone, Debug)]
pub struct Publication {
    base: Config,
    next: Config,
    number: u64,
    fleet_revision: Revision,
    step: Step,
    call_id: CallId,
    tries: u32,
    written_blindly: bool,
    base_version: Option<Version>,
    head: Head,
    shards: BTreeMap<ShardHash, Vec<u8>>,
    to_write: Vec<ShardHash>,
    other: Head,
    other_shards: BTreeMap<ShardHash, Vec<u8>>,
}

impl Publication {
    /// A publication of `next` by someone who started from `base`.
    /// `number` is random and names this publication.
    #[must_use]
    pub fn new(base: Config, next: Config, number: u64) -> Self {
        Self {
            base,
            next,
            number,
            fleet_revision: 0,
            step: Step::Idle,
            call_id: 0,
            tries: 0,
            written_blindly: false,
            base_version: None,
            head: Head::default(),
            shards: BTreeMap::new(),
            to_write: Vec::new(),
            other: Head::default(),
            other_shards: BTreeMap::new(),
        }
    }

    /// Takes an input and returns what to do.
    pub fn handle(&mut self, input: PublishInput) -> Vec<PublishOutput> {
        match input {
            PublishInput::Start(revision) if self.step == Step::Idle => {
                self.fleet_revision = revision;
                self.go(Step::ReadHead)
            }
            PublishInput::Reply { id, reply } if id == self.call_id => self.replied(reply),
            _ => Vec::new(),
        }
    }

    fn replied(&mut self, reply: Reply) -> Vec<PublishOutput> {
        if matches!(reply, Reply::Unavailable | Reply::Lost) {
            return self.no_answer(&reply);
        }
        self.tries = 0;
        match (self.step.clone(), reply) {
            (Step::ReadHead, Reply::Object { version, value }) => self.read_head(version, &value),
            (Step::ReadHead, Reply::Missing) => self.prepare(None, &Head::default()),
            // A shard that is already there has the same content.
            (Step::WriteShard(_), Reply::Written { .. } | Reply::Conflict { .. }) => {
                self.write_next()
            }
            (Step::WriteHead, Reply::Written { .. }) => {
                self.done(PublishOutcome::Accepted(self.head.revision))
            }
            (Step::WriteHead, Reply::Conflict { .. }) => self.go(Step::ReadBack),
            (Step::ReadBack, Reply::Object { value, .. }) => self.read_back(&value),
            (Step::ReadBack, Reply::Missing) => self.vanished(),
            (Step::ReadOther(hash), Reply::Object { value, .. }) => {
                self.other_shards.insert(hash, value);
                self.read_other()
            }
            (step, reply) => {
                let reason = format!(
                    "the platform answered {reply:?} while the publication was at {step:?}; run it again"
                );
                self.done(PublishOutcome::Refused(reason))
            }
        }
    }

    fn no_answer(&mut self, reply: &Reply) -> Vec<PublishOutput> {
        if self.step == Step::WriteHead && *reply == Reply::Lost {
            self.written_blindly = true;
        }
        self.tries += 1;
        if self.tries >= MAX_TRIES {
            let unknown = self.written_blindly;
            return self.done(PublishOutcome::Unavailable { unknown });
        }
        let again = match self.step.clone() {
            Step::WriteHead if self.written_blindly => Step::ReadBack,
            step => step,
        };
        self.go(again)
    }

    fn read_head(&mut self, version: Version, value: &[u8]) -> Vec<PublishOutput> {
        match Head::from_bytes(value) {
            Ok(head) if head.revision == self.base.revision => self.prepare(Some(version), &head),
            Ok(head) => self.conflict(head),
            Err(error) => self.done(PublishOutcome::Refused(error.to_string())),
        }
    }

    fn prepare(&mut self, version: Option<Version>, present: &Head) -> Vec<PublishOutput> {
        let highest = present
            .revision
            .max(self.fleet_revision)
            .max(self.base.revision);
        self.next.revision = highest + 1;
        self.base_version = version;
        let split = match split(&self.next).and_then(|s| join(&s.head, &s.shards).map(|_| s)) {
            Ok(split) => split,
            Err(error) => return self.done(PublishOutcome::Refused(error.to_string())),
        };
        self.head = Head {
            publication: self.number,
            history: present.history_with_self(),
            ..split.head
        };
        let known = &present.shards;
        let new = split.shards.keys().filter(|h| !known.contains(h));
        self.to_write = new.cloned().collect();
        self.shards = split.shards;
        self.write_next()
    }

    fn write_next(&mut self) -> Vec<PublishOutput> {
        match self.to_write.pop() {
            Some(hash) => self.go(Step::WriteShard(hash)),
            None => self.go(Step::WriteHead),
        }
    }

    fn read_back(&mut self, value: &[u8]) -> Vec<PublishOutput> {
        let head = match Head::from_bytes(value) {
            Ok(head) => head,
            Err(error) => return self.done(PublishOutcome::Refused(error.to_string())),
        };
        let ours = head.publication == self.number || head.history.contains(&self.number);
        if ours {
            return self.done(PublishOutcome::Accepted(self.head.revision));
        }
        if head.revision == self.base.revision && self.written_blindly {
            // The lost write has not taken effect so far. Writing again under the same
            // condition is safe even if it still does.
            return self.go(Step::WriteHead);
        }
        self.conflict(head)
    }

    fn vanished(&mut self) -> Vec<PublishOutput> {
        if self.base_version.is_none() && self.written_blindly {
            return self.go(Step::WriteHead);
        }
        let reason = "the head was deleted during the publication; run it again".to_owned();
        self.done(PublishOutcome::Refused(reason))
    }

    fn conflict(&mut self, head: Head) -> Vec<PublishOutput> {
        self.other = head;
        self.read_other()
    }

    fn read_other(&mut self) -> Vec<PublishOutput> {
        let missing = |h: &&ShardHash| !self.other_shards.contains_key(*h);
        if let Some(hash) = self.other.shards.iter().find(missing) {
            return self.go(Step::ReadOther(hash.clone()));
        }
        match join(&self.other, &self.other_shards) {
            Ok(other) => self.done(PublishOutcome::Conflict {
                revision: other.revision,
                changed: diff(&self.base, &other),
            }),
            Err(error) => self.done(PublishOutcome::Refused(error.to_string())),
        }
    }

    fn done(&mut self, how: PublishOutcome) -> Vec<PublishOutput> {
        self.step = Step::Done;
        vec![PublishOutput::Done(how)]
    }

    fn go(&mut self, step: Step) -> Vec<PublishOutput> {
        let call = match &step {
            Step::WriteShard(hash) => Call::Put {
                key: shard_key(hash),
                value: self.shards.get(hash).cloned().unwrap_or_default(),
                condition: Condition::Absent,
            },
            Step::WriteHead => match self.head.to_bytes() {
                Ok(value) => Call::Put {
                    key: HEAD_KEY.into(),
                    value,
                    condition: self
                        .base_version
                        .map_or(Condition::Absent, Condition::Version),
                },
                Err(error) => return self.done(PublishOutcome::Refused(error.to_string())),
            },
            Step::ReadOther(hash) => Call::Get {
                key: shard_key(hash),
            },
            Step::Idle | Step::ReadHead | Step::ReadBack | Step::Done => Call::Get {
                key: HEAD_KEY.into(),
            },
        };
        self.step = step;
        self.call_id += 1;
        let id = self.call_id;
        vec![PublishOutput::Platform { id, call }]
    }
}
