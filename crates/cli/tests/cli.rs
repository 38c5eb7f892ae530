//! The command line against a fleet of hosts.
#![allow(clippy::unwrap_used, reason = "Tests fail by panicking.")]

use std::process::Output;

use notchwharf_standins::fleet;
use notchwharf_standins::fleet::Config;
use notchwharf_standins::fleet::Fleet;
use rstest::rstest;
use serde_json::Value;

async fn run(admin: &str, words: &[&str]) -> Output {
    let mut command = tokio::process::Command::new(env!("CARGO_BIN_EXE_notchwharf"));
    command.args(["--admin", admin]).args(words);
    command.output().await.unwrap()
}

fn json(out: &Output) -> Value {
    serde_json::from_slice(&out.stdout).unwrap()
}

fn write(name: &str, text: &str) -> std::path::PathBuf {
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
async fn exit_codes_tell_what_went_wrong(#[case] words: &[&str], #[case] code: i32) {
    // Port 1 on loopback has no listener.
    let out = run("http://127.0.0.1:1", words).await;
    assert_eq!(out.status.code(), Some(code), "{out:?}");
}

#[tokio::test]
async fn a_stale_base_is_refused_and_the_current_version_named() {
    let fleet = Fleet::start(Config::default()).await;
    let admin = fleet.admin_url("a1");
    let good = serde_json::to_string(&fleet::school_bundle("1")).unwrap();
    let file = write("stale", &good);
    let file = file.to_str().unwrap();

    let ana = [
        "publish", file, "--base", "none", "--author", "ana", "--json",
    ];
    let first = json(&run(&admin, &ana).await);
    let second = json(&run(&admin, &ana).await);
    let version = first["version"].to_string();
    let digest = first["digest"].as_str().unwrap();
    let sign = |version: String| {
        let words = ["sign-off", "--digest", digest, "--author", "rui"].map(str::to_owned);
        let mut words = words.to_vec();
        words.insert(1, version);
        words
    };
    let words = sign(version.clone());
    let words: Vec<&str> = words.iter().map(String::as_str).collect();
    let signed = run(&admin, &words).await;
    assert_eq!(signed.status.code(), Some(0), "{signed:?}");

    let words = sign(second["version"].to_string());
    let words: Vec<&str> = words.iter().map(String::as_str).collect();
    let late = run(&admin, &words).await;
    assert_eq!(late.status.code(), Some(1), "{late:?}");

    let stale = run(&admin, &ana).await;
    assert_eq!(stale.status.code(), Some(1));
    let said = String::from_utf8_lossy(&stale.stderr).into_owned();
    assert!(said.contains(&format!("version {version}")), "{said}");

    let shown = json(&run(&admin, &["bundle", "--json"]).await);
    assert_eq!(shown["version"].to_string(), version);
}

#[tokio::test]
async fn a_wrong_bundle_is_refused_before_publishing() {
    let file = write(
        "wrong",
        r#"{"servings": [], "tenants": [{"name": "a", "servings": ["x"]}]}"#,
    );
    let out = run("http://127.0.0.1:1", &["check", file.to_str().unwrap()]).await;
    assert_eq!(out.status.code(), Some(1));
    let said = String::from_utf8_lossy(&out.stderr).into_owned();
    assert!(said.contains("tenants[0].servings[0]"), "{said}");
}

#[tokio::test]
async fn hosts_targets_and_jobs_are_shown() {
    let fleet = Fleet::ready(Config::default()).await;
    let admin = fleet.admin_url("a2");
    let job = fleet
        .submit("a1", fleet::SCHOOL_KEY, &fleet::input_file("n", 3, 4))
        .await;

    let hosts = json(&run(&admin, &["hosts", "--json"]).await);
    assert_eq!(hosts["hosts"].as_array().unwrap().len(), 3);
    let targets = json(&run(&admin, &["targets", "--json"]).await);
    // Four engines and the two targets of a plain service.
    assert_eq!(targets["targets"].as_array().unwrap().len(), 6);
    let jobs = String::from_utf8(run(&admin, &["jobs"]).await.stdout).unwrap();
    assert!(jobs.contains(&job), "{jobs}");
    let cancelled = run(&admin, &["cancel", &job]).await;
    assert_eq!(cancelled.status.code(), Some(0), "{cancelled:?}");
    let nothing = run(&admin, &["cancel", "batch_0"]).await;
    assert_eq!(nothing.status.code(), Some(1));
}

#[tokio::test]
async fn a_drained_host_leaves() {
    let fleet = Fleet::ready(Config::default()).await;
    let admin = fleet.admin_url("a1");
    let out = run(&admin, &["drain", "a3"]).await;
    assert_eq!(out.status.code(), Some(0), "{out:?}");
    let url = format!("{admin}/admin/v1/hosts");
    fleet
        .wait_until(|fleet| {
            let url = url.clone();
            async move {
                let seen = fleet.get_json(&url).await;
                seen["hosts"][2]["report"]["leaving"] == true
            }
        })
        .await;
}
