//! Operators who ask and command several instances by the command line.

use std::cell::Cell;
use std::net::SocketAddr;
use std::time::Duration;

use futures_util::future::join;
use magnoliaspar_standin::{
    CALLER_KEY, DeploymentSpec, OPERATOR_KEY, PEER_KEY, READER_KEY, declarations,
};
use magnoliaspar_tests::{
    AnswerEnd, Caller, Cluster, CommandOutput, InstanceProcess, Operator, SECOND_OPERATOR_KEY,
    column_of, wait_until,
};
use serde_json::{Map, Value, json};

const PROGRAM: &str = env!("CARGO_BIN_EXE_instance");

/// How many tokens each answer has.
const TOKENS: u32 = 24;

/// How many tokens an answer has that runs while it is asked about.
const LONG_TOKENS: u32 = 2_000;

/// How long a state may take to be seen everywhere.
const SEEN_TIMEOUT: Duration = Duration::from_secs(10);

async fn start(zone_a: &[&str], zone_b: &[&str]) -> Cluster {
    let spec = DeploymentSpec::small(&["zone-a", "zone-b"]);
    let mut cluster = Cluster::start(PROGRAM, &spec).await;
    cluster.start_instances(0, zone_a).await;
    cluster.start_instances(1, zone_b).await;
    let all = zone_a.len() + zone_b.len();
    let zones = 1 + usize::from(!zone_b.is_empty());
    for index in 0..all {
        let operator = operator(&cluster, index, READER_KEY);
        wait_until(SEEN_TIMEOUT, async || {
            let instances = operator.column("instances where state = live", "instance").await;
            let servers = operator.column("servers where state = live", "server").await;
            instances.len() == all && servers.len() == 5 * zones
        })
        .await;
    }
    cluster
}

fn operator(cluster: &Cluster, index: usize, key: &str) -> Operator {
    Operator::new(PROGRAM, cluster.instances[index].addresses.operators, key)
}

/// Returns the declarations of the stand-ins as a file, with another weight on goodput.
fn declarations_file(goodput: f64) -> String {
    let mut groups = Map::new();
    for (id, value) in declarations().unwrap().entities {
        let (group, name) = id.0.split_once('/').unwrap();
        groups.entry(group).or_insert_with(|| json!({}))[name] = value;
    }
    let mut file = Value::Object(groups);
    file["routes"]["assess"]["completion"]["weights"] = json!({ "goodput": goodput });
    file.to_string()
}

async fn ask(entry: SocketAddr, id: &str, prompt: &str) {
    let answer = Caller::new().ask(&[entry], id, prompt, TOKENS).await;
    assert_eq!(answer.end, AnswerEnd::Complete, "{answer:?}");
}

async fn apply(operator: &Operator, file: &str) -> CommandOutput {
    operator.run(&["apply", file, "--wait", "15s"]).await
}

#[actix_rt::test]
async fn apply_waits_until_in_force_everywhere_and_names_what_is_not() {
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
    wait_until(SEEN_TIMEOUT, async || {
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
async fn of_two_racing_operators_one_wins_and_the_other_is_told_who() {
    let cluster = start(&["a-1"], &["b-1"]).await;
    let on_call = operator(&cluster, 0, OPERATOR_KEY);
    let second_shift = operator(&cluster, 1, SECOND_OPERATOR_KEY);
    for version in 1..=5 {
        let first = format!("change route assess set weights.goodput = 0.6 if version {version}");
        let second = format!("change route assess set weights.goodput = 0.8 if version {version}");
        let (first_args, second_args) = (["query", &first], ["query", &second]);
        let ended = join(on_call.run(&first_args), second_shift.run(&second_args)).await;
        let (winner, won, loser) = match ended {
            (won, lost) if won.code == 0 => ("on-call", won, lost),
            (lost, won) => ("second-shift", won, lost),
        };
        let next = version + 1;
        assert_eq!(won.code, 0, "{}", won.err);
        assert!(won.out.contains(&format!("accepted as version {next}")), "{}", won.out);
        assert_eq!(loser.code, 1, "{loser:?}");
        assert!(loser.err.contains(&format!("version {next} by {winner}")), "{}", loser.err);
        assert!(loser.err.contains("change route assess set weights.goodput"), "{}", loser.err);
        wait_until(SEEN_TIMEOUT, async || {
            let first = on_call.column("config limit 1", "version").await;
            let second = second_shift.column("config limit 1", "version").await;
            first == [next.to_string().into()] && first == second
        })
        .await;
    }
}

#[actix_rt::test]
async fn a_time_line_shows_causes_before_effects_and_silent_instances_as_gaps() {
    let mut cluster = start(&["a-1", "a-2"], &["b-1"]).await;
    let reader = operator(&cluster, 0, READER_KEY);
    let entries = cluster.entries();
    // Both instances of the zone send the request to the same home, which one of them is not.
    ask(entries[0], "pack-1", "Assess this pack.").await;
    ask(entries[1], "pack-2", "Assess this pack.").await;
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
    ask(cluster.entries()[0], "pack-7", "Assess this pack.").await;
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
    let asked = async {
        let answer =
            Caller::new().ask(&[entry], "long-1", "[long] Assess this pack.", LONG_TOKENS).await;
        assert_eq!(answer.end, AnswerEnd::Complete);
    };
    let seen = async {
        wait_until(SEEN_TIMEOUT, async || {
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
    join(asked, seen).await;
    assert_eq!(reader.column("servers", "server").await.len(), 5);
    assert_eq!(reader.column("pools where live = 2", "pool").await.len(), 2);
}

#[actix_rt::test]
async fn a_drained_server_gets_no_new_work_until_the_drain_is_withdrawn() {
    let cluster = start(&["a-1", "a-2"], &[]).await;
    let on_call = operator(&cluster, 0, OPERATOR_KEY);
    let second_shift = operator(&cluster, 1, SECOND_OPERATOR_KEY);
    let server = "servers where server = zone-a-decode-1";
    assert_eq!(on_call.column(server, "version").await, ["0".into()]);
    let answer = on_call.query("drain server zone-a-decode-1 if version 0").await;
    let version = answer["command"]["version"].as_u64().unwrap();
    let late = second_shift.run(&["query", "undrain server zone-a-decode-1 if version 0"]).await;
    assert_eq!(late.code, 1, "{late:?}");
    let expected = format!("version {version} by on-call");
    assert!(late.err.contains(&expected), "{}", late.err);
    for operator in [&on_call, &second_shift] {
        wait_until(SEEN_TIMEOUT, async || {
            operator.column(server, "state").await == ["draining".into()]
        })
        .await;
    }
    for number in 0..8 {
        let id = format!("pack-{number}");
        ask(cluster.entries()[number % 2], &id, &format!("Assess pack {number}.")).await;
        let decode = on_call.column(&format!("why {id}"), "decision").await;
        assert!(decode.iter().any(|step| step.contains("decode on zone-a-decode-2")), "{decode:?}");
    }
    let unknown = on_call.run(&["query", "drain server zone-a-decode-9"]).await;
    assert!(unknown.code == 1 && unknown.err.contains("is not known"), "{unknown:?}");
    let undrain = format!("undrain server zone-a-decode-1 if version {version}");
    second_shift.query(&undrain).await;
    wait_until(SEEN_TIMEOUT, async || on_call.column(server, "state").await == ["live".into()])
        .await;
    on_call.query("drain server zone-a-decode-2").await;
    let other = "servers where server = zone-a-decode-2";
    for operator in [&on_call, &second_shift] {
        wait_until(SEEN_TIMEOUT, async || {
            operator.column(other, "state").await == ["draining".into()]
                && operator.column(server, "state").await == ["live".into()]
        })
        .await;
    }
    ask(cluster.entries()[0], "pack-again", "Assess it again.").await;
    let decode = on_call.column("why pack-again", "decision").await;
    assert!(decode.iter().any(|step| step.contains("decode on zone-a-decode-1")), "{decode:?}");
}

#[actix_rt::test]
async fn an_instance_is_drained_through_another_one() {
    let cluster = start(&["a-1", "a-2"], &[]).await;
    let on_call = operator(&cluster, 0, OPERATOR_KEY);
    let drained = operator(&cluster, 1, READER_KEY);
    let answer = on_call.query("drain instance a-2").await;
    assert_eq!(column_of(&answer, "state"), ["draining".into()]);
    let status = drained.run(&["status"]).await;
    assert!(status.out.contains("draining         yes"), "{}", status.out);
    let refused = Caller::new();
    let mut answer = magnoliaspar_tests::StreamedAnswer::default();
    refused.attempt(cluster.entries()[1], "x", "Assess it.", TOKENS, &mut answer).await;
    let end = AnswerEnd::Refused { code: "draining".into(), outcome: "not_run".into() };
    assert_eq!(answer.end, end);
    let answer = on_call.query("undrain instance a-2").await;
    assert_eq!(column_of(&answer, "state"), ["live".into()]);
    ask(cluster.entries()[1], "y", "Assess it.").await;
    // Whichever instance the zone would choose as home, a drained one is none.
    for (drained, other, entry) in [("a-1", "a-2", 1), ("a-2", "a-1", 0)] {
        on_call.query(&format!("drain instance {drained}")).await;
        let number = Cell::new(0);
        wait_until(SEEN_TIMEOUT, async || {
            number.set(number.get() + 1);
            let id = format!("away-from-{drained}-{}", number.get());
            ask(cluster.entries()[entry], &id, "Assess it.").await;
            let homes = on_call.column(&format!("why {id}"), "instance").await;
            homes.iter().all(|home| &**home == other)
        })
        .await;
        on_call.query(&format!("undrain instance {drained}")).await;
    }
    let unknown = on_call.run(&["query", "drain instance a-9"]).await;
    assert_eq!(unknown.code, 1);
    assert!(unknown.err.contains("a-9 is not known"), "{}", unknown.err);
}

#[actix_rt::test]
async fn stored_and_declared_things_are_shown_and_unsupported_commands_refused() {
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
    let load = on_call.run(&["query", "load model m version 2 on pool p"]).await;
    assert!(load.code == 1 && load.err.contains("not supported by this build"), "{load:?}");
    let short = on_call.run(&["query", "quarantine 0a0b"]).await;
    assert!(short.code == 1 && short.err.contains("16 hexadecimal digits"), "{short:?}");
    let wrong = on_call.run(&["query", "servers wher pool = x"]).await;
    assert!(wrong.code == 2 && wrong.err.contains("did you mean where?"), "{wrong:?}");
}

#[actix_rt::test]
async fn a_fingerprint_is_quarantined_and_released_on_command() {
    let cluster = start(&["a-1"], &[]).await;
    let on_call = operator(&cluster, 0, OPERATOR_KEY);
    on_call.query("quarantine 00000000000a0b0c").await;
    let listed = on_call.query("quarantine").await;
    assert_eq!(column_of(&listed, "fingerprint"), ["00000000000a0b0c".into()]);
    assert_eq!(column_of(&listed, "state"), ["refused".into()]);
    let late = on_call.run(&["query", "release 00000000000a0b0c if version 7"]).await;
    assert!(late.code == 1, "{late:?}");
    on_call.query("release 00000000000a0b0c").await;
    assert_eq!(on_call.query("quarantine").await["rows"], json!([]));
}

#[actix_rt::test]
async fn a_waiting_request_is_told_why() {
    let cluster = start(&["a-1", "a-2"], &[]).await;
    let on_call = operator(&cluster, 0, OPERATOR_KEY);
    for number in [1, 2] {
        on_call.query(&format!("drain server zone-a-decode-{number}")).await;
    }
    let drained = "servers where pool = assessor-decode and state = draining";
    let second = operator(&cluster, 1, READER_KEY);
    wait_until(SEEN_TIMEOUT, async || {
        on_call.column(drained, "server").await.len() == 2
            && second.column(drained, "server").await.len() == 2
    })
    .await;
    let entry = cluster.entries()[0];
    let asked = async { ask(entry, "pack-1", "Assess this pack.").await };
    let told = async {
        wait_until(SEEN_TIMEOUT, async || {
            let steps = second.column("why pack-1", "step").await;
            steps == ["accepted".into(), "waiting".into()]
        })
        .await;
        let decision = second.column("why pack-1", "decision").await;
        assert!(decision[1].contains("no decode slot"), "{decision:?}");
        on_call.query("undrain server zone-a-decode-2").await;
    };
    join(asked, told).await;
    let decision = second.column("why pack-1", "decision").await;
    assert!(decision.iter().any(|step| step.contains("decode on zone-a-decode-2")), "{decision:?}");
}

#[actix_rt::test]
async fn wrong_keys_of_callers_and_instances_are_events() {
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
    cluster.deployment.enlist_instance(&settings, stranger.addresses);
    cluster.instances.push(stranger);
    let peers = "timeline where kind = auth_failed and details contains \"for other instances\"";
    wait_until(SEEN_TIMEOUT, async || {
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

#[actix_rt::test]
async fn a_read_key_commands_nothing_and_no_key_is_logged() {
    let cluster = start(&["a-1", "a-2"], &[]).await;
    let reader = operator(&cluster, 0, READER_KEY);
    let commands = [
        "drain server zone-a-decode-1",
        "undrain instance a-2",
        "change route assess set wait = refuse_late",
        "quarantine 0a0b",
        "release 0a0b",
        "load model m version 2 on pool assessor-decode",
    ];
    for command in commands {
        let output = reader.run(&["query", command]).await;
        assert_eq!(output.code, 1, "{command}: {output:?}");
        assert!(output.err.contains("status 403"), "{command}: {}", output.err);
    }
    let file = cluster.write_file("change.json", &declarations_file(0.9));
    let output = apply(&reader, &file).await;
    assert!(output.code == 1 && output.err.contains("status 403"), "{output:?}");
    let stranger = operator(&cluster, 0, "not-the-key-of-anyone");
    let output = stranger.run(&["status"]).await;
    assert!(output.code == 1 && output.err.contains("status 401"), "{output:?}");
    assert_eq!(reader.column("config limit 1", "version").await, ["1".into()]);
    assert_eq!(
        reader.column("servers where state = draining", "server").await,
        [] as [Box<str>; 0]
    );

    let on_call = operator(&cluster, 0, OPERATOR_KEY);
    on_call.query("drain server zone-a-decode-1").await;
    ask(cluster.entries()[0], "pack-1", "Assess this pack.").await;
    let failures = "timeline where kind = auth_failed and instance = a-1";
    let details = reader.column(failures, "details").await;
    let forbidden = details.iter().filter(|text| text.contains("status 403")).count();
    assert_eq!(forbidden, commands.len() + 1, "{details:?}");
    assert_eq!(details.len(), forbidden + 1, "{details:?}");
    let given = reader.column("timeline where kind = command_given", "details").await;
    assert!(given[0].contains("command by on-call: drain server zone-a-decode-1"), "{given:?}");
    let shown = reader.run(&["timeline", "--json"]).await.out;
    for instance in &cluster.instances {
        let log = instance.log();
        for key in [
            OPERATOR_KEY,
            SECOND_OPERATOR_KEY,
            READER_KEY,
            PEER_KEY,
            CALLER_KEY,
            "not-the-key-of-anyone",
        ] {
            assert!(!log.contains(key), "{log}");
            assert!(!shown.contains(key), "{shown}");
        }
    }
    assert!(cluster.instances[0].log().contains("drain server zone-a-decode-1"));
}
