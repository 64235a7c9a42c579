//! Keeps the fleet running for manual calls.

use eelgrasshold_standins::fleet::{DRAFTS, Fleet};

/// Prints addresses and example commands, waits for Ctrl-C, and stops the fleet.
pub async fn keep(fleet: Fleet) {
    println!("\nthe fleet stays up; Ctrl-C ends it");
    println!("  platform  {}", fleet.platform_url());
    for entry in &fleet.entries {
        println!(
            "  entry     http://{}  admin {}",
            entry.data_address(),
            entry.admin_address()
        );
    }
    for upstream in &fleet.upstreams {
        println!(
            "  upstream  {}  admin {}",
            upstream.data_address(),
            upstream.admin_address()
        );
    }
    for engine in &fleet.engines {
        println!("  engine    {}", engine.address());
    }
    for plain in &fleet.plain_services {
        println!("  plain     {}", plain.address());
    }
    if let Some(entry) = fleet.entries.first() {
        let url = format!(
            "http://{}/v1/services/{DRAFTS}/v1/completions",
            entry.data_address()
        );
        println!("\ncall it:\n  curl -N -H 'eel-team: classers' \\");
        println!("    -d '{{\"prompt\":\"Describe lot 17\",\"max_tokens\":20}}' {url}");
        println!(
            "look at it:\n  cargo run --release -p eelgrasshold-ctl -- status --admin {}",
            entry.admin_address()
        );
    }
    if let Err(error) = tokio::signal::ctrl_c().await {
        eprintln!("can't wait for Ctrl-C: {error}");
    }
    fleet.close().await;
}
