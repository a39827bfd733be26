//! Tests of the parser, and of the text form of statements against it.

use std::time::Duration;

use magnoliaspar_declaration::{EntityId, EntityKind};
use magnoliaspar_settings::OperatorRights;
use proptest::collection::vec;
use proptest::option;
use proptest::prelude::{Just, ProptestConfig, Strategy, any, prop_oneof, proptest};
use proptest::sample::select;
use proptest::test_runner::RngSeed;

use crate::{
    Assignment, ColumnKind, Command, CommandKind, Condition, DrainTarget, EntityRef, Literal,
    LoadTarget, Operator, Query, Statement, Subject,
};

#[test]
fn statements_of_all_kinds_are_parsed() {
    for text in [
        "running where route = \"assess\" and server = \"assessor-llm-3\" limit 20",
        "why pack-7/2",
        "servers where pool = \"p\" and report_age > 2s",
        "instances",
        "routes where adapters contains \"tone\"",
        "pools",
        "workspaces where share >= 2",
        "config",
        "claims where outcome = \"may have run\" limit 5",
        "orders",
        "quarantine",
        "quarantine where crashes > 1",
        "timeline where request = \"pack-7\" since 5m",
        "drain server d-1 if version 12",
        "undrain server d-1",
        "drain instance mid-a-1",
        "add server d-9 to pool assessor-decode in zone mid-a at \"127.0.0.1:7000\"",
        "change route assess set weights.goodput = 0.6, wait = \"may_wait\" if version 12",
        "change server d-1 set role = \"prefill\"",
        "quarantine 9f3c",
        "quarantine \"where\"",
        "release 9f3c if version 3",
        "load model lm version 5 adapters a, b on pool p",
        "load model lm version 5 on server d-1",
        "load model lm version 5 size 14000000000 on server d-1",
        "load model lm version 5 adapters a size 7 on pool p",
    ] {
        let statement = Statement::parse(text).unwrap_or_else(|err| panic!("{err}"));
        assert_eq!(statement.to_string(), text);
    }
}

#[test]
fn only_commands_need_the_right_to_command() {
    let rights = |text| Statement::parse(text).unwrap().required_rights();
    assert_eq!(rights("quarantine limit 3"), OperatorRights::Read);
    assert_eq!(rights("quarantine 9f3c"), OperatorRights::Command);
}

/// Parses an invalid statement and returns the message, the marked part and the hint.
fn syntax_error(text: &str) -> (String, String, Option<String>) {
    let err = Statement::parse(text).unwrap_err();
    let marked = text[err.start..err.end].to_owned();
    (err.message.into(), marked, err.hint.map(Into::into))
}

#[test]
fn a_typing_mistake_is_pointed_at() {
    let err = Statement::parse("running wher route = \"assess\"").unwrap_err();
    let expected = "\
error: expected where, limit or the end, found wher
  running wher route = \"assess\"
          ^^^^
  hint: did you mean where?";
    assert_eq!(err.to_string(), expected);
    let err = Statement::parse("servers\nwhere pöol = 1").unwrap_err();
    assert!(err.to_string().contains("\n  where pöol = 1\n        ^"), "{err}");
}

#[test]
fn mistakes_of_all_kinds_are_explained() {
    let hint = |hint: &str| Some(hint.to_owned());
    let cases = [
        ("servers where sate = live", "sate", hint("did you mean state?")),
        ("servers where state == live", "=", None),
        ("servers where state < live", "<", None),
        ("servers where queue > many", "many", None),
        ("servers where report_age > 5", "5", None),
        ("servers where pool = p an state = live", "an", hint("did you mean and?")),
        ("servers limit 5 where pool = p", "where", None),
        ("servers since 5m", "since", None),
        ("drain sever d-1", "sever", hint("did you mean server?")),
        ("drain server", "", None),
        ("drain server if version 2", "if", None),
        ("drain server d-1 if verson 2", "verson", hint("did you mean version?")),
        ("drain server d-1 if version two", "two", None),
        ("drain server \"a b\"", "\"a b\"", None),
        (
            "change route a set b.. = 1",
            "b..",
            hint("join field names with dots, as in weights.goodput"),
        ),
        ("change route a set b = [1, 2", "", None),
        ("change route a set b = ", "", None),
        ("why", "", None),
        (
            "timeline where request = \"pack",
            "\"pack",
            hint("write \\\" for a quote and \\\\ for a backslash"),
        ),
        (
            "add server a to pool p in zone z at nowhere",
            "nowhere",
            hint("write an IP address and a port, such as 10.0.0.5:8080"),
        ),
        ("running; drain", ";", None),
        ("", "", None),
    ];
    for (text, marked, hint) in cases {
        let (message, found, found_hint) = syntax_error(text);
        assert_eq!(found, marked, "{text}: {message}");
        assert_eq!(found_hint, hint, "{text}: {message}");
    }
    assert_eq!(syntax_error("drain").0, "expected server or instance, found the end");
    assert_eq!(syntax_error("running; drain").0, "unexpected character");
}

fn word() -> impl Strategy<Value = String> {
    prop_oneof![
        "[a-zA-Z0-9_.:/-]{1,12}",
        select(vec!["where", "and", "if", "limit", "true", "5m", "12"]).prop_map(String::from),
    ]
}

fn text() -> impl Strategy<Value = Literal> {
    prop_oneof![word(), "[ -~äß\n\t]{0,12}"].prop_map(|text| Literal::Text(text.into()))
}

fn literal() -> impl Strategy<Value = Literal> {
    let scalar = prop_oneof![
        text(),
        (-1e6..1e6f64).prop_map(Literal::Number),
        any::<i32>().prop_map(|number| Literal::Number(number.into())),
        (0u64..1 << 40).prop_map(|millis| Literal::Duration(Duration::from_millis(millis))),
        any::<bool>().prop_map(Literal::Boolean),
    ];
    let list = vec(scalar.clone(), 0..4).prop_map(|elements| Literal::List(elements.into()));
    prop_oneof![4 => scalar, 1 => list]
}

fn condition(subject: &Subject) -> impl Strategy<Value = Condition> + use<> {
    select(subject.columns().into_vec()).prop_flat_map(|column| {
        let operators = Operator::of_kind(column.kind);
        let all = Operator::ALL.into_iter();
        let operator =
            select(all.filter(|op| operators.contains(&op.symbol())).collect::<Vec<_>>());
        let value = match column.kind {
            ColumnKind::Text | ColumnKind::List => text().boxed(),
            ColumnKind::Count | ColumnKind::Number => (-1e6..1e6).prop_map(Literal::Number).boxed(),
            ColumnKind::Duration => {
                (0u64..1 << 40).prop_map(|ms| Literal::Duration(Duration::from_millis(ms))).boxed()
            }
            ColumnKind::Boolean => any::<bool>().prop_map(Literal::Boolean).boxed(),
        };
        (Just(column.name), operator, value).prop_map(|(field, operator, value)| Condition {
            field,
            operator,
            value,
        })
    })
}

fn query() -> impl Strategy<Value = Statement> {
    let subject = prop_oneof![
        select(vec![
            Subject::Running,
            Subject::Servers,
            Subject::Instances,
            Subject::Routes,
            Subject::Pools,
            Subject::Workspaces,
            Subject::Config,
            Subject::Claims,
            Subject::Orders,
            Subject::Quarantine,
            Subject::Timeline,
        ]),
        word().prop_map(|request| Subject::Why(request.as_str().try_into().unwrap())),
    ];
    let parts = subject.prop_flat_map(|subject| {
        let conditions = vec(condition(&subject), 0..3);
        (Just(subject), conditions, option::of(0u64..1 << 40), option::of(any::<u32>()))
    });
    parts.prop_map(|(subject, conditions, since, limit)| {
        let since = since.filter(|_| subject.supports_since()).map(Duration::from_millis);
        Statement::Query(Query { subject, conditions, since, limit })
    })
}

fn assignment() -> impl Strategy<Value = Assignment> {
    (vec("[a-z_]{1,8}", 1..3), literal()).prop_map(|(path, value)| {
        let path = path.into_iter().map(Into::into).collect();
        Assignment { path, value }
    })
}

fn command() -> impl Strategy<Value = Statement> {
    let kind = prop_oneof![
        (word(), any::<bool>()).prop_map(|(name, is_server)| {
            let name = name.as_str();
            CommandKind::Drain(match is_server {
                true => DrainTarget::Server(name.try_into().unwrap()),
                false => DrainTarget::Instance(name.try_into().unwrap()),
            })
        }),
        (word(), word(), word(), any::<([u8; 4], u16)>()).prop_map(
            |(server, pool, zone, address)| CommandKind::AddServer {
                server: server.as_str().try_into().unwrap(),
                pool: pool.as_str().try_into().unwrap(),
                zone: zone.as_str().try_into().unwrap(),
                address: address.into(),
            }
        ),
        (word(), select(EntityKind::ALL.to_vec()), vec(assignment(), 1..3)).prop_map(
            |(name, kind, assignments)| CommandKind::Change {
                target: EntityRef::Declared(EntityId::new(kind, &name)),
                assignments,
            }
        ),
        word().prop_map(|word| CommandKind::Quarantine { fingerprint: word.into() }),
        word().prop_map(|word| CommandKind::Release { fingerprint: word.into() }),
        (word(), word(), vec(word(), 0..3), option::of(any::<u64>())).prop_map(
            |(model, version, adapters, weight_bytes)| {
                CommandKind::LoadModel {
                    model: model.as_str().try_into().unwrap(),
                    version: version.into(),
                    adapters: adapters.into_iter().map(Into::into).collect(),
                    weight_bytes,
                    target: LoadTarget::Pool(model.as_str().try_into().unwrap()),
                }
            }
        ),
    ];
    (kind, option::of(any::<u64>()))
        .prop_map(|(kind, expected_version)| Statement::Command(Command { kind, expected_version }))
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 512,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(43),
        ..ProptestConfig::default()
    })]

    #[test]
    fn a_statement_is_parsed_as_it_is_written(statement in prop_oneof![query(), command()]) {
        let text = statement.to_string();
        let parsed = Statement::parse(&text).unwrap_or_else(|err| panic!("{err}"));
        assert_eq!(parsed, statement, "{text}");
    }

    #[test]
    fn any_text_is_parsed_or_refused_with_a_place(words in vec(prop_oneof![
        word(), "[=<>!,\"\\[\\] \né\\\\]{1,3}",
        select(vec!["servers", "drain", "change route r set x ="]).prop_map(String::from),
    ], 0..8)) {
        let text = words.join(" ");
        if let Err(err) = Statement::parse(&text) {
            assert!(err.start <= err.end && err.end <= text.len());
            assert!(text.is_char_boundary(err.start) && text.is_char_boundary(err.end));
            assert!(err.to_string().contains('^'));
        }
    }
}
