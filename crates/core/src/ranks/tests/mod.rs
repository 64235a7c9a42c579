//! Tests of planning, of popularity and of rollouts, in virtual time.

mod demand;
mod even;
mod rollout;
