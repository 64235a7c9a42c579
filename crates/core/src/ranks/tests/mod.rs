//! Tests of planning, of popularity and of rollouts, in virtual time.

mod demand;
mod even;
mod leader;
mod rollout;
