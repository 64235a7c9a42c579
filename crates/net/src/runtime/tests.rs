use std::sync::{Arc, Mutex};
use std::time::Duration;

use super::*;

// Guards against a task that sleeps until the first timer and misses an earlier one set meanwhile.
#[tokio::test(start_paused = true)]
async fn timers_fire_in_order_of_their_times() {
    let clock = Clock::start();
    let timers = Arc::new(Timers::new());
    let fired = Arc::new(Mutex::new(Vec::new()));
    let (task_timers, task_fired) = (Arc::clone(&timers), Arc::clone(&fired));
    let task = tokio::spawn(async move {
        task_timers
            .run(clock, |timer| {
                task_fired
                    .lock()
                    .unwrap()
                    .push((timer, clock.now().as_secs()));
            })
            .await;
    });
    timers.set(Duration::from_secs(5), 'b');
    tokio::task::yield_now().await;
    timers.set(Duration::from_secs(2), 'a');
    tokio::time::sleep(Duration::from_secs(6)).await;
    assert_eq!(*fired.lock().unwrap(), [('a', 2), ('b', 5)]);
    task.abort();
}
