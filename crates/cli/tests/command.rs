//! Tests of the command as an operator runs it: exit codes, positions and hints.

use std::fs;
use std::path::PathBuf;
use std::process::{Command, Output};

use cranberryridge::clock::Tokio;
use cranberryridge::net::Tcp;
use cranberryridge_standin::fleet::{Fleet, Plan, LOG_PORT};
use cranberryridge_wire::id::Version;

/// Runs the command with arguments.
fn run(arguments: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_cranberryridge"));
    command.args(arguments).output().unwrap()
}

/// Returns the exit code, and standard output followed by standard error.
fn code_and_text(output: &Output) -> (Option<i32>, String) {
    let text = [output.stdout.clone(), output.stderr.clone()].concat();
    (output.status.code(), String::from_utf8(text).unwrap())
}

/// Writes a file into a folder of the given name, which no other test uses.
fn write_service_file(name: &str, text: &str) -> PathBuf {
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    fs::create_dir_all(&folder).unwrap();
    let file = folder.join("service.toml");
    fs::write(&file, text).unwrap();
    file
}

#[test]
fn check_accepts_the_examples() {
    let root = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples");
    for folder in ["lipowa", "sahel"] {
        let (code, text) = code_and_text(&run(&["check", &format!("{root}/{folder}")]));
        assert_eq!(code, Some(0), "{text}");
    }
}

#[test]
fn check_shows_every_problem_with_its_place_and_a_hint() {
    let file = write_service_file(
        "check",
        "name = \"a b\"\nfirst_token_ms = 0\nroutes = [{ path = \"x\", idempotent = true }]\n",
    );
    let file = file.to_str().unwrap();
    let (code, text) = code_and_text(&run(&["check", file]));
    assert_eq!(code, Some(1));
    for place in ["1:8", "2:18", "3:20"] {
        assert!(text.contains(&format!("{file}:{place}: ")), "{text}");
    }
    assert_eq!(text.matches("hint: ").count(), 3, "{text}");
}

#[test]
fn losses_are_counted_by_service_outcome_and_last_call() {
    let line = |request: &str, outcome: &str, status: u16, calls: &str| {
        format!(
            "{{\"msg\":\"gateway: request over\",\"service\":\"model\",\"request\":\"{request}\",\
             \"outcome\":\"{outcome}\",\"status\":{status},\"calls\":\"{calls}\"}}\n"
        )
    };
    let log = [
        line("a1", "streamed", 200, "decode:i-1:began@9"),
        line(
            "a2",
            "cut off",
            200,
            "decode:i-1:began@9 stream:i-1:broken@70",
        ),
        line(
            "a3",
            "cut off",
            200,
            "decode:i-2:began@9 stream:i-2:broken@90",
        ),
        line("a4", "full", 503, "reserve:i-1:no answer@70"),
        line("a5", "no_configuration", 503, ""),
        "not a line of a log\n".into(),
    ];
    let file = write_service_file("losses", &log.concat());
    let (code, text) = code_and_text(&run(&["losses", file.to_str().unwrap()]));
    assert_eq!(code, Some(0), "{text}");
    let rows = text
        .lines()
        .map(|row| row.split_whitespace().collect::<Vec<_>>().join(" "));
    let rows = rows.collect::<Vec<_>>();
    assert_eq!(rows[0], "1 served");
    assert_eq!(rows[1], "2 model cut off stream broken a2");
    assert!(
        rows.contains(&"1 model full reserve no answer a4".into()),
        "{text}"
    );
    assert!(
        rows.contains(&"1 model no_configuration no call a5".into()),
        "{text}"
    );
}

#[test]
fn notices_are_listed_by_era_and_endpoint() {
    let log = r#"
{"msg":"store: new era","daemon":"front-1","era":1,"before":0}
{"msg":"store: new era","daemon":"front-2","era":1,"before":0}
{"msg":"store: new era","daemon":"front-1","era":2,"before":1}
{"msg":"endpoint: leaving, as it says","daemon":"front-1","ts":"10:02","endpoint":"i-1"}
{"msg":"endpoint: leaving, as another host says","daemon":"front-2","ts":"10:03","endpoint":"i-1"}
{"msg":"endpoint: rests","daemon":"front-1","endpoint":"i-2","rest_ms":2500}
{"msg":"endpoint: rest unreadable, ignored","daemon":"front-1","endpoint":"i-2"}
{"msg":"endpoint: limit changed, as it says","daemon":"front-1","ts":"10:04","endpoint":"i-3","rate":2.5}
{"msg":"endpoint: limit changed, as another host says","daemon":"front-2","ts":"10:05","endpoint":"i-3","rate":2.5}
{"msg":"endpoint: limit changed, as it says","daemon":"front-1","ts":"10:04","endpoint":"i-4","rate":2.5}
{"msg":"endpoint: limit changed, as it says","daemon":"front-1","ts":"10:06","endpoint":"i-4","rate":null}
not a line of a log
"#;
    let file = write_service_file("notices", log);
    let (code, text) = code_and_text(&run(&["notices", file.to_str().unwrap()]));
    assert_eq!(code, Some(0), "{text}");
    let rows = text.lines().collect::<Vec<_>>();
    assert_eq!(
        rows,
        [
            "era 2: 1 hosts, front-1",
            "era 1: 1 hosts, front-2",
            "i-1: leaving since 10:02, known to 2 hosts",
            "i-2: 1 rests, the longest 2500 ms; 1 unreadable rests",
            "i-3: limit 2.5 a second since 10:05, known to 2 hosts",
            "i-4: limit none since 10:06, known to 1 hosts",
        ]
    );
}

#[test]
fn exit_codes_are_the_documented_ones() {
    assert_eq!(run(&["--version"]).status.code(), Some(0));
    assert_eq!(run(&["explain", "1102"]).status.code(), Some(0));
    assert_eq!(run(&["explain", "9999"]).status.code(), Some(1));
    assert_eq!(run(&["nonsense"]).status.code(), Some(2));
    assert_eq!(run(&["publish", "--nonsense"]).status.code(), Some(2));
    assert_eq!(run(&["status"]).status.code(), Some(2));
    for command in ["check", "publish", "status", "explain", "demo"] {
        assert_eq!(run(&[command, "--help"]).status.code(), Some(0));
    }
    let file = write_service_file("down", "name = \"a\"\n");
    let log = ["publish", "--log", "127.0.30.1:9", file.to_str().unwrap()];
    assert_eq!(run(&log).status.code(), Some(1));
}

#[tokio::test(flavor = "multi_thread")]
async fn publish_and_status_over_tcp() {
    let plan = Plan {
        subnet: 31,
        ..Plan::default()
    };
    let fleet = Fleet::start(Tcp, Tokio, plan).await.unwrap();
    fleet.publish(Version::default(), fleet.services());
    fleet.wait_ready().await;
    let path = write_service_file("publish", "name = \"new\"\nmodel = \"m\"\n");
    let log = fleet.plan.address(1, LOG_PORT).to_string();
    let entry = fleet.entries[0].address().to_string();
    let arguments = move |more: &[&str]| {
        let mut arguments = ["publish", "--log", &log, "--entry", &entry]
            .map(str::to_owned)
            .to_vec();
        arguments.extend(more.iter().map(|more| (*more).to_owned()));
        arguments.push(path.to_str().unwrap().to_owned());
        arguments
    };
    let call = |arguments: Vec<String>| async {
        tokio::task::spawn_blocking(move || {
            code_and_text(&run(&arguments
                .iter()
                .map(String::as_str)
                .collect::<Vec<_>>()))
        })
        .await
        .unwrap()
    };
    let (status, text) = call(arguments(&["--dry-run"])).await;
    assert_eq!(status, Some(0), "{text}");
    assert!(text.contains("new: added"), "{text}");
    let (status, text) = call(arguments(&[])).await;
    assert_eq!(status, Some(0), "{text}");
    assert!(
        text.contains("version 2 is in force on all 7 daemons"),
        "{text}"
    );
    let (status, text) = call(arguments(&["--entry", "127.0.31.99:1", "--wait", "1"])).await;
    assert_eq!(status, Some(5), "{text}");
    assert!(text.contains("behind: 127.0.31.99:1"), "{text}");
    let entry = fleet.entries[0].address().to_string();
    let (status, text) = call(["status", "--entry", &entry].map(str::to_owned).to_vec()).await;
    assert_eq!(status, Some(0), "{text}");
    assert!(text.contains("version 2"), "{text}");
}
