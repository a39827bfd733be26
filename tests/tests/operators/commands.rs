//! Tests that commands of operators take effect on all instances, that only one of two conflicting
//! commands is accepted, and that a key with the right to read cannot run any.

use std::cell::Cell;
use std::time::Duration;

use futures_util::future::join;
use magnoliaspar_standin::{CALLER_KEY, Faults, OPERATOR_KEY, PEER_KEY, READER_KEY};
use magnoliaspar_tests::{
    AnswerEnd, Caller, SECOND_OPERATOR_KEY, StreamedAnswer, column_of, wait_until,
};

use crate::common::{
    PROPAGATION_TIMEOUT, TOKENS, apply, declarations_file, operator, request_completion, start,
};

/// Timeout of an order, including the lease and the drain that precede it.
const ORDER_TIMEOUT: Duration = Duration::from_secs(20);

#[actix_rt::test]
async fn of_two_concurrent_changes_one_wins_and_the_other_gets_a_conflict() {
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
        wait_until(PROPAGATION_TIMEOUT, async || {
            let first = on_call.column("config limit 1", "version").await;
            let second = second_shift.column("config limit 1", "version").await;
            first == [next.to_string().into()] && first == second
        })
        .await;
    }
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
        wait_until(PROPAGATION_TIMEOUT, async || {
            operator.column(server, "state").await == ["draining".into()]
        })
        .await;
    }
    for number in 0..8 {
        let id = format!("pack-{number}");
        request_completion(cluster.entries()[number % 2], &id, &format!("Assess pack {number}."))
            .await;
        let decode = on_call.column(&format!("why {id}"), "decision").await;
        assert!(decode.iter().any(|step| step.contains("decode on zone-a-decode-2")), "{decode:?}");
    }
    let unknown = on_call.run(&["query", "drain server zone-a-decode-9"]).await;
    assert!(unknown.code == 1 && unknown.err.contains("is not known"), "{unknown:?}");
    let undrain = format!("undrain server zone-a-decode-1 if version {version}");
    second_shift.query(&undrain).await;
    wait_until(PROPAGATION_TIMEOUT, async || {
        on_call.column(server, "state").await == ["live".into()]
    })
    .await;
    on_call.query("drain server zone-a-decode-2").await;
    let other = "servers where server = zone-a-decode-2";
    for operator in [&on_call, &second_shift] {
        wait_until(PROPAGATION_TIMEOUT, async || {
            operator.column(other, "state").await == ["draining".into()]
                && operator.column(server, "state").await == ["live".into()]
        })
        .await;
    }
    request_completion(cluster.entries()[0], "pack-again", "Assess it again.").await;
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
    let caller = Caller::new();
    let mut answer = StreamedAnswer::default();
    caller.attempt(cluster.entries()[1], "x", "Assess it.", TOKENS, &mut answer).await;
    let end = AnswerEnd::Refused { code: "draining".into(), outcome: "not_run".into() };
    assert_eq!(answer.end, end);
    let answer = on_call.query("undrain instance a-2").await;
    assert_eq!(column_of(&answer, "state"), ["live".into()]);
    request_completion(cluster.entries()[1], "y", "Assess it.").await;
    // A drained instance is never a home, whichever instance the zone would choose otherwise.
    for (drained, other, entry) in [("a-1", "a-2", 1), ("a-2", "a-1", 0)] {
        on_call.query(&format!("drain instance {drained}")).await;
        let number = Cell::new(0);
        wait_until(PROPAGATION_TIMEOUT, async || {
            number.set(number.get() + 1);
            let id = format!("away-from-{drained}-{}", number.get());
            request_completion(cluster.entries()[entry], &id, "Assess it.").await;
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
async fn a_drained_engine_loads_the_ordered_model() {
    let cluster = start(&["a-1", "a-2"], &[]).await;
    let on_call = operator(&cluster, 0, OPERATOR_KEY);
    let second_shift = operator(&cluster, 1, SECOND_OPERATOR_KEY);
    let load = "load model assessor-llm version 2";
    let missing = on_call.run(&["query", &format!("{load} on server zone-a-decode-1")]).await;
    assert!(missing.code == 1 && missing.err.contains("size BYTES"), "{missing:?}");
    let sized = format!("{load} size 1000 on server zone-a-decode-1");
    on_call.query(&format!("{sized} if version 0")).await;
    let late = second_shift.run(&["query", &format!("{sized} if version 0")]).await;
    assert!(late.code == 1 && late.err.contains("by on-call"), "{late:?}");
    let orders = "orders where server = zone-a-decode-1";
    let is_at = async |state: &str| second_shift.column(orders, "state").await == [state.into()];
    wait_until(ORDER_TIMEOUT, async || is_at("awaits a drain").await).await;
    on_call.query("drain server zone-a-decode-1").await;
    wait_until(ORDER_TIMEOUT, async || is_at("in force").await).await;
    let sent = "timeline where server = zone-a-decode-1 and kind = order_sent";
    let details = on_call.column(sent, "details").await;
    assert!(details[0].contains("load assessor-llm 2"), "{details:?}");
    assert_eq!(details.len(), 1);
    on_call.query("undrain server zone-a-decode-1").await;
}

#[actix_rt::test]
async fn operators_quarantine_and_release_fingerprints() {
    let cluster = start(&["a-1", "a-2"], &[]).await;
    let faults = Faults { crash_mark: Some("crash".into()), restart_ms: 100, ..Faults::default() };
    for engine in &cluster.deployment.zones[0].prefills {
        engine.set_faults(faults.clone());
    }
    let caller = Caller::new();
    let entries = cluster.entries();
    let code = async |id: &str| match caller
        .request_completion(&entries, id, "crash it", TOKENS)
        .await
        .end
    {
        AnswerEnd::Refused { code, .. } => code,
        end => format!("{end:?}").into(),
    };
    assert_eq!(code("culprit").await, "quarantined".into());
    let on_call = operator(&cluster, 0, OPERATOR_KEY);
    let refused = "quarantine where state = refused";
    let fingerprints = on_call.column(refused, "fingerprint").await;
    let [fingerprint] = &*fingerprints else { panic!("{fingerprints:?}") };
    for engine in &cluster.deployment.zones[0].prefills {
        engine.set_faults(Faults::default());
    }
    on_call.query(&format!("release {fingerprint}")).await;
    wait_until(PROPAGATION_TIMEOUT, async || on_call.column(refused, "state").await.is_empty())
        .await;
    assert_eq!(code("mended").await, "Complete".into());
    on_call.query(&format!("quarantine {fingerprint}")).await;
    wait_until(PROPAGATION_TIMEOUT, async || {
        let number: u32 = rand::random();
        code(&format!("again-{number}")).await == "quarantined".into()
    })
    .await;
    let wrong = on_call.run(&["query", "release 0a0b"]).await;
    assert!(wrong.code == 1 && wrong.err.contains("16 hexadecimal digits"), "{wrong:?}");
}

#[actix_rt::test]
async fn a_read_key_cannot_run_commands_and_no_key_is_logged() {
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
    request_completion(cluster.entries()[0], "pack-1", "Assess this pack.").await;
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
