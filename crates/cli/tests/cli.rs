//! Tests the command line against a fleet of hosts.
#![allow(clippy::unwrap_used, reason = "Tests fail by panicking.")]

use std::process::Output;

use notchwharf_standins::fleet;
use notchwharf_standins::fleet::Config;
use notchwharf_standins::fleet::Fleet;
use rstest::rstest;
use serde_json::Value;

async fn run(admin: &str, args: &[&str]) -> Output {
    let mut command = tokio::process::Command::new(env!("CARGO_BIN_EXE_notchwharf"));
    command.args(["--admin", admin]).args(args);
    command.output().await.unwrap()
}

fn stdout_json(out: &Output) -> Value {
    serde_json::from_slice(&out.stdout).unwrap()
}

fn write_file(name: &str, text: &str) -> std::path::PathBuf {
    let dir = std::path::PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
    let path = dir.join(format!("{name}-{}.json", std::process::id()));
    std::fs::write(&path, text).unwrap();
    path
}

#[rstest]
#[case::no_command(&[], 2)]
#[case::unknown_command(&["dance"], 2)]
#[case::unknown_option(&["--loud", "hosts"], 2)]
#[case::missing_base(&["publish", "x.json", "--author", "ana"], 2)]
#[case::bad_version(&["sign-off", "x", "--digest", "d", "--author", "a"], 2)]
#[case::unreadable_file(&["check", "/nonexistent"], 2)]
#[case::unreachable(&["hosts"], 3)]
#[case::help(&["--help"], 0)]
#[tokio::test]
async fn exit_codes_identify_the_cause(#[case] args: &[&str], #[case] code: i32) {
    // Port 1 on loopback has no listener.
    let out = run("http://127.0.0.1:1", args).await;
    assert_eq!(out.status.code(), Some(code), "{out:?}");
}

#[tokio::test]
async fn a_stale_base_is_rejected_with_the_current_version() {
    let fleet = Fleet::start(Config::default()).await;
    let admin = fleet.admin_url("a1");
    let bundle = serde_json::to_string(&fleet::school_bundle("1")).unwrap();
    let file = write_file("stale", &bundle);
    let file = file.to_str().unwrap();

    let publish_args = [
        "publish", file, "--base", "none", "--author", "ana", "--json",
    ];
    let first = stdout_json(&run(&admin, &publish_args).await);
    let second = stdout_json(&run(&admin, &publish_args).await);
    let version = first["version"].to_string();
    let digest = first["digest"].as_str().unwrap();
    let sign_off_args = |version: String| {
        let args = ["sign-off", "--digest", digest, "--author", "rui"].map(str::to_owned);
        let mut args = args.to_vec();
        args.insert(1, version);
        args
    };
    let args = sign_off_args(version.clone());
    let args: Vec<&str> = args.iter().map(String::as_str).collect();
    let signed_off = run(&admin, &args).await;
    assert_eq!(signed_off.status.code(), Some(0), "{signed_off:?}");

    let args = sign_off_args(second["version"].to_string());
    let args: Vec<&str> = args.iter().map(String::as_str).collect();
    let conflicting = run(&admin, &args).await;
    assert_eq!(conflicting.status.code(), Some(1), "{conflicting:?}");

    let stale = run(&admin, &publish_args).await;
    assert_eq!(stale.status.code(), Some(1));
    let stderr = String::from_utf8_lossy(&stale.stderr).into_owned();
    assert!(stderr.contains(&format!("version {version}")), "{stderr}");

    let current = stdout_json(&run(&admin, &["bundle", "--json"]).await);
    assert_eq!(current["version"].to_string(), version);
}

#[tokio::test]
async fn an_invalid_bundle_is_rejected_without_a_host() {
    let file = write_file(
        "wrong",
        r#"{"servings": [], "tenants": [{"name": "a", "servings": ["x"]}]}"#,
    );
    let out = run("http://127.0.0.1:1", &["check", file.to_str().unwrap()]).await;
    assert_eq!(out.status.code(), Some(1));
    let stderr = String::from_utf8_lossy(&out.stderr).into_owned();
    assert!(stderr.contains("tenants[0].servings[0]"), "{stderr}");
}

#[tokio::test]
async fn hosts_targets_and_jobs_are_listed() {
    let fleet = Fleet::ready(Config::default()).await;
    let admin = fleet.admin_url("a2");
    let job = fleet
        .submit("a1", fleet::SCHOOL_KEY, &fleet::input_file("n", 3, 4))
        .await;

    let hosts = stdout_json(&run(&admin, &["hosts", "--json"]).await);
    assert_eq!(hosts["hosts"].as_array().unwrap().len(), 3);
    let targets = stdout_json(&run(&admin, &["targets", "--json"]).await);
    // Four engines and two targets of a service without a model.
    assert_eq!(targets["targets"].as_array().unwrap().len(), 6);
    let jobs = String::from_utf8(run(&admin, &["jobs"]).await.stdout).unwrap();
    assert!(jobs.contains(&job), "{jobs}");
    let cancelled = run(&admin, &["cancel", &job]).await;
    assert_eq!(cancelled.status.code(), Some(0), "{cancelled:?}");
    let missing = run(&admin, &["cancel", "batch_0"]).await;
    assert_eq!(missing.status.code(), Some(1));
}

#[tokio::test]
async fn a_drained_host_reports_that_it_is_leaving() {
    let fleet = Fleet::ready(Config::default()).await;
    let admin = fleet.admin_url("a1");
    let out = run(&admin, &["drain", "a3"]).await;
    assert_eq!(out.status.code(), Some(0), "{out:?}");
    let url = format!("{admin}/admin/v1/hosts");
    fleet
        .wait_until(|fleet| {
            let url = url.clone();
            async move {
                let hosts = fleet.get_json(&url).await;
                hosts["hosts"][2]["report"]["leaving"] == true
            }
        })
        .await;
}
