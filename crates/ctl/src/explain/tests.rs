use super::{Explanation, rows};

const LINES: &str = r#"
 3.5 edge-1 {"event":2001,"host":"edge-1","level":"info","name":"RequestAdmitted","request":"r-1","route":"drafts","stamp":"10100.0","table":4,"time":"t"}
{"event":5101,"host":"edge-1","name":"UpstreamListed","stamp":"9000.0","upstream":"up-1"}
{"event":2014,"host":"edge-1","message":"left out for a while","name":"UpstreamEjected","request":"r-0","stamp":"10090.0","upstream":"up-2"}
{"event":2014,"host":"edge-2","name":"UpstreamEjected","request":"r-0","stamp":"10090.0","upstream":"up-1"}
{"event":2016,"host":"edge-1","name":"AttemptEnded","outcome":"failed","request":"r-1","stamp":"10130.0","took_ms":29,"upstream":"up-1"}
{"event":2002,"host":"edge-1","name":"RequestDispatched","request":"r-1","stamp":"10101.0","upstream":"up-1"}
{"event":2001,"host":"edge-1","name":"RequestAdmitted","request":"r-2","stamp":"10100.0"}
{"event":2014,"host":"edge-1","name":"UpstreamEjected","request":"r-0","stamp":"20.0","upstream":"up-1"}
{"event":2004,"host":"edge-1","name":"Requ
not a line
{"event":1008,"host":"edge-1","name":"LinesLeftOut","count":17}
{"level":"warn","message":"a library says something"}
"#;

fn explanation() -> Explanation {
    let mut explanation = Explanation::new("r-1");
    explanation.read(LINES.as_bytes()).unwrap();
    explanation
}

// Guards against effects listed before causes, lines of other requests, and upstream events that are
// too old, of another process or about another upstream.
#[test]
fn a_request_is_told_in_causal_order_with_what_bears_on_it() {
    let events = explanation().events();
    let names: Vec<_> = events.iter().map(|e| (e.stamp.wall_ms, e.number)).collect();
    assert_eq!(
        names,
        [
            (9_000, 5101),
            (10_100, 2001),
            (10_101, 2002),
            (10_130, 2016)
        ]
    );
    insta::assert_snapshot!(crate::output::table(
        &["ms", "process", "event", "name", "about"],
        &rows("r-1", &events),
    ));
}

// Guards against stopping at a malformed line, and against hiding that lines are missing.
#[test]
fn bad_lines_and_lines_left_out_are_counted() {
    let explanation = explanation();
    assert_eq!((explanation.bad_lines, explanation.left_out), (2, 17));
}

#[test]
fn unknown_request_has_no_events() {
    let mut explanation = Explanation::new("r-9");
    explanation.read(LINES.as_bytes()).unwrap();
    assert!(explanation.events().is_empty());
}
