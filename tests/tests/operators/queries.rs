//! Tests that queries show the state of all instances and name those that do not answer, and that
//! declarations become active on all instances that can be reached.

use futures_util::future::join;
use magnoliaspar_standin::{CALLER_KEY, OPERATOR_KEY, PEER_KEY, READER_KEY};
use magnoliaspar_tests::{AnswerEnd, Caller, InstanceProcess, column_of, wait_until};
use serde_json::{Value, json};

use crate::common::{
    PROGRAM, PROPAGATION_TIMEOUT, apply, declarations_file, operator, request_completion, start,
};

/// Length of an answer that still runs while operators query it.
const LONG_TOKENS: u32 = 2_000;

#[actix_rt::test]
async fn apply_waits_for_all_reachable_instances_and_names_the_others() {
    let mut cluster = start(&["a-1", "a-2"], &["b-1"]).await;
    let on_call = operator(&cluster, 0, OPERATOR_KEY);
    let file = cluster.write_file("first.json", &declarations_file(0.5));
    let output = apply(&on_call, &file).await;
    assert_eq!(output.code, 0, "{}", output.err);
    assert!(output.out.contains("version 2 is in force on 3 instances"), "{}", output.out);
    assert!(!output.out.contains("not reached"), "{}", output.out);
    for index in 0..3 {
        let instance = operator(&cluster, index, READER_KEY);
        let status = instance.run(&["status", "--json"]).await;
        let status: Value = serde_json::from_str(&status.out).unwrap();
        assert_eq!(status["config_version"], 2);
        assert_eq!(instance.column("routes where route = assess", "goodput").await, ["0.5".into()]);
    }

    cluster.instances[1].kill();
    cluster.instances[2].pause();
    let file = cluster.write_file("second.json", &declarations_file(0.6));
    let output = apply(&on_call, &file).await;
    assert_eq!(output.code, 0, "{}", output.err);
    assert!(output.out.contains("version 3 is in force on 1 instances"), "{}", output.out);
    assert!(output.out.contains("-- not reached: a-2"), "{}", output.out);
    assert!(output.out.contains("-- not reached: b-1"), "{}", output.out);

    cluster.instances[2].resume();
    let resumed = operator(&cluster, 2, READER_KEY);
    wait_until(PROPAGATION_TIMEOUT, async || {
        let status = resumed.run(&["status", "--json"]).await;
        status.out.contains("\"config_version\":3")
    })
    .await;
}

#[actix_rt::test]
async fn wrong_declarations_are_refused_with_their_findings() {
    let cluster = start(&["a-1"], &[]).await;
    let on_call = operator(&cluster, 0, OPERATOR_KEY);
    let output = on_call
        .run(&["query", "change route assess set prefill_pool = grants-app, wiat = x"])
        .await;
    assert_eq!(output.code, 2, "{output:?}");
    assert!(output.err.contains("$.routes.assess.completion.prefill_pool"), "{}", output.err);
    assert!(output.err.contains("unknown field \"wiat\""), "{}", output.err);
    assert_eq!(on_call.column("config limit 1", "version").await, ["1".into()]);
}

#[actix_rt::test]
async fn a_timeline_shows_causes_before_effects_and_unreachable_instances_as_gaps() {
    let mut cluster = start(&["a-1", "a-2"], &["b-1"]).await;
    let reader = operator(&cluster, 0, READER_KEY);
    let entries = cluster.entries();
    // Both instances of the zone forward to the same home, so exactly one of the two requests
    // involves a second instance.
    request_completion(entries[0], "pack-1", "Assess this pack.").await;
    request_completion(entries[1], "pack-2", "Assess this pack.").await;
    cluster.instances[2].kill();
    let mut spans_two = 0;
    for id in ["pack-1", "pack-2"] {
        let output = reader.run(&["timeline", "--request", id, "--json"]).await;
        assert_eq!(output.code, 0, "{}", output.err);
        let timeline: Value = serde_json::from_str(&output.out).unwrap();
        let mut kinds = Vec::new();
        let mut instances = Vec::new();
        let mut last_stamp = 0;
        for entry in timeline["entries"].as_array().unwrap() {
            let Some(event) = entry.get("event") else { continue };
            kinds.push(event["kind"].as_str().unwrap().to_owned());
            instances.push(event["instance"].as_str().unwrap().to_owned());
            let stamp = event["stamp"].as_u64().unwrap();
            assert!(stamp > last_stamp, "{}", output.out);
            last_stamp = stamp;
        }
        let expected = [
            "accepted",
            "planned",
            "prefill_started",
            "prefilled",
            "transfer_started",
            "first_token",
            "finished",
        ];
        assert_eq!(kinds, expected, "{}", output.out);
        spans_two += usize::from(instances[0] != instances[1]);
        let output = reader.run(&["timeline", "--request", id]).await;
        assert!(output.out.contains("-- gap: b-1: "), "{}", output.out);
    }
    assert_eq!(spans_two, 1);
}

#[actix_rt::test]
async fn why_names_the_chosen_servers_and_the_rejected_ones() {
    let cluster = start(&["a-1", "a-2"], &[]).await;
    let reader = operator(&cluster, 1, READER_KEY);
    request_completion(cluster.entries()[0], "pack-7", "Assess this pack.").await;
    let answer = reader.query("why pack-7").await;
    let steps = column_of(&answer, "step");
    let planned = steps.iter().position(|step| &**step == "planned").unwrap();
    let decision = &column_of(&answer, "decision")[planned];
    let rejected = &column_of(&answer, "rejected")[planned];
    let mut chosen = 0;
    for server in ["zone-a-prefill-1", "zone-a-prefill-2"] {
        let is_chosen = decision.contains(&format!("prefill on {server}"));
        assert!(is_chosen || rejected.contains(server), "{decision}, rejected {rejected}");
        chosen += usize::from(is_chosen);
    }
    assert_eq!(chosen, 1, "{decision}");
    assert!(decision.contains("decode on zone-a-decode-"), "{decision}");
    let inputs = &column_of(&answer, "inputs")[planned];
    assert!(inputs.contains("weights 0.7/0.3"), "{inputs}");
}

#[actix_rt::test]
async fn running_requests_and_servers_are_shown_with_their_home() {
    let cluster = start(&["a-1", "a-2"], &[]).await;
    let reader = operator(&cluster, 1, READER_KEY);
    let entry = cluster.entries()[0];
    let request = async {
        let answer = Caller::new()
            .request_completion(&[entry], "long-1", "[long] Assess this pack.", LONG_TOKENS)
            .await;
        assert_eq!(answer.end, AnswerEnd::Complete);
    };
    let inspect = async {
        wait_until(PROPAGATION_TIMEOUT, async || {
            let answer = reader.query("running where stage = decode").await;
            column_of(&answer, "request") == ["long-1".into()]
        })
        .await;
        let running = reader.query("running where request = long-1").await;
        assert_eq!(column_of(&running, "route"), ["assess".into()]);
        assert_eq!(column_of(&running, "workspace"), ["council".into()]);
        let server = column_of(&running, "server");
        assert!(server[0].starts_with("zone-a-decode-"), "{server:?}");
        assert_eq!(column_of(&running, "decode_server"), server);
        let home = column_of(&running, "instance");
        let query = format!("servers where server = {} and slots_used >= 1", server[0]);
        assert_eq!(reader.column(&query, "home").await, home);
        let council = "workspaces where workspace = council";
        assert_eq!(reader.column(council, "running").await, ["1".into()]);
    };
    join(request, inspect).await;
    assert_eq!(reader.column("servers", "server").await.len(), 5);
    assert_eq!(reader.column("pools where live = 2", "pool").await.len(), 2);
}

#[actix_rt::test]
async fn claims_and_declarations_are_shown_and_unsupported_commands_are_refused() {
    let cluster = start(&["a-1"], &["b-1"]).await;
    let client = awc::Client::default();
    let url = format!("http://{}/grants/payouts", cluster.entries()[0]);
    let req = client.post(url).bearer_auth(CALLER_KEY).insert_header(("idempotency-key", "k/17"));
    let res = req.send_json(&json!({ "pounds": 250 })).await.unwrap();
    assert!(res.status().is_success(), "{}", res.status());
    let on_call = operator(&cluster, 1, OPERATOR_KEY);
    let claims = on_call.query("claims where key = k/17").await;
    let columns = ["workspace", "route", "outcome", "instance"];
    let found = columns.map(|column| column_of(&claims, column));
    let expected = ["council", "payouts", "answered", "a-1"];
    assert_eq!(found, expected.map(|text| vec![Box::from(text)]));
    let routes = on_call.column("routes where repeat = at_most_once", "prefix").await;
    assert_eq!(routes, ["/grants/payouts".into()]);
    let pools = on_call.query("pools where kind = service").await;
    assert_eq!(column_of(&pools, "servers"), ["2".into()]);
    assert_eq!(on_call.column("workspaces", "concurrency").await, ["1000".into()]);
    for subject in ["orders", "quarantine"] {
        assert_eq!(on_call.query(subject).await["rows"], json!([]), "{subject}");
    }
    let add = "add server x to pool grants-app in zone zone-a at \"127.0.0.1:1\"";
    for command in [add, "change server x set pool = grants-app"] {
        let output = on_call.run(&["query", command]).await;
        assert_eq!(output.code, 1, "{command}: {output:?}");
        assert!(output.err.contains("not supported by this build"), "{}", output.err);
    }
    let wrong = on_call.run(&["query", "servers wher pool = x"]).await;
    assert!(wrong.code == 2 && wrong.err.contains("did you mean where?"), "{wrong:?}");
}

#[actix_rt::test]
async fn why_shows_the_reason_of_a_waiting_request() {
    let cluster = start(&["a-1", "a-2"], &[]).await;
    let on_call = operator(&cluster, 0, OPERATOR_KEY);
    for number in [1, 2] {
        on_call.query(&format!("drain server zone-a-decode-{number}")).await;
    }
    let drained = "servers where pool = assessor-decode and state = draining";
    let second = operator(&cluster, 1, READER_KEY);
    wait_until(PROPAGATION_TIMEOUT, async || {
        on_call.column(drained, "server").await.len() == 2
            && second.column(drained, "server").await.len() == 2
    })
    .await;
    let entry = cluster.entries()[0];
    let request = async { request_completion(entry, "pack-1", "Assess this pack.").await };
    let inspect = async {
        wait_until(PROPAGATION_TIMEOUT, async || {
            let steps = second.column("why pack-1", "step").await;
            steps == ["accepted".into(), "waiting".into()]
        })
        .await;
        let decision = second.column("why pack-1", "decision").await;
        assert!(decision[1].contains("no decode slot"), "{decision:?}");
        on_call.query("undrain server zone-a-decode-2").await;
    };
    join(request, inspect).await;
    let decision = second.column("why pack-1", "decision").await;
    assert!(decision.iter().any(|step| step.contains("decode on zone-a-decode-2")), "{decision:?}");
}

#[actix_rt::test]
async fn wrong_keys_of_callers_and_instances_are_recorded_as_events() {
    let mut cluster = start(&["a-1"], &[]).await;
    let reader = operator(&cluster, 0, READER_KEY);
    let client = awc::Client::default();
    let url = format!("http://{}/v1/completions", cluster.entries()[0]);
    let req = client.post(url).bearer_auth("not-the-key-of-anyone");
    let res = req.send_json(&json!({ "model": "m", "prompt": "p" })).await.unwrap();
    assert_eq!(res.status().as_u16(), 401);
    let callers = "timeline where kind = auth_failed and details contains \"for callers\"";
    assert_eq!(reader.column(callers, "instance").await, ["a-1".into()]);

    let text = cluster.settings_text(0, "a-9").replace(PEER_KEY, "not-the-key-of-a-peer");
    let file = cluster.write_file("a-9.json", &text);
    let settings = cluster.deployment.settings(0, "a-9").unwrap();
    let stranger = InstanceProcess::start(PROGRAM, std::path::Path::new(&*file));
    cluster.deployment.register_instance(&settings, stranger.addresses);
    cluster.instances.push(stranger);
    let peers = "timeline where kind = auth_failed and details contains \"for other instances\"";
    wait_until(PROPAGATION_TIMEOUT, async || {
        let instances = reader.column(peers, "instance").await;
        instances.contains(&"a-1".into())
    })
    .await;
    let answer = reader.query("instances").await;
    assert_eq!(answer["gaps"][0]["instance"], "a-9");
    for instance in &cluster.instances {
        assert!(!instance.log().contains("not-the-key-of-"), "{}", instance.log());
    }
}
