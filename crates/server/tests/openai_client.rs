//! Compatibility with a published client library.
#![allow(clippy::unwrap_used, reason = "Tests fail by panicking.")]

use async_openai::Client;
use async_openai::config::OpenAIConfig;
use async_openai::types::batches::BatchCompletionWindow;
use async_openai::types::batches::BatchEndpoint;
use async_openai::types::batches::BatchRequest;
use async_openai::types::batches::BatchStatus;
use async_openai::types::chat::ChatCompletionRequestUserMessageArgs;
use async_openai::types::chat::CreateChatCompletionRequest;
use async_openai::types::chat::CreateChatCompletionRequestArgs;
use async_openai::types::files::CreateFileRequest;
use async_openai::types::files::FileInput;
use async_openai::types::files::FilePurpose;
use futures_util::StreamExt as _;
use notchwharf_standins::fleet;
use notchwharf_standins::fleet::Config;
use notchwharf_standins::fleet::Fleet;
use notchwharf_standins::fleet::SCHOOL_KEY;

fn client(fleet: &Fleet, host: &str) -> Client<OpenAIConfig> {
    let config = OpenAIConfig::new()
        .with_api_base(format!("{}/v1", fleet.url(host)))
        .with_api_key(SCHOOL_KEY);
    Client::with_config(config)
}

fn chat_request() -> CreateChatCompletionRequest {
    let message = ChatCompletionRequestUserMessageArgs::default()
        .content("Which key has two sharps?")
        .build()
        .unwrap();
    CreateChatCompletionRequestArgs::default()
        .model("hints")
        .max_completion_tokens(6_u32)
        .messages([message.into()])
        .build()
        .unwrap()
}

#[tokio::test]
async fn client_library_lists_models_and_completes_chats() {
    let fleet = Fleet::ready(Config::default()).await;
    let caller = client(&fleet, "a1");

    let models = caller.models().list().await.unwrap();
    assert_eq!(models.data[0].id, "hints");

    let complete = caller.chat().create(chat_request()).await.unwrap();
    let complete = complete.choices[0].message.content.clone().unwrap();
    assert_eq!(complete.split_whitespace().count(), 6);

    let mut stream = caller.chat().create_stream(chat_request()).await.unwrap();
    let mut text = String::new();
    while let Some(chunk) = stream.next().await {
        let delta = chunk.unwrap().choices[0].delta.content.clone();
        text.push_str(&delta.unwrap_or_default());
    }
    assert_eq!(text, complete);
}

#[tokio::test]
async fn client_library_runs_batch() {
    let fleet = Fleet::ready(Config::default()).await;
    let input_file = fleet::input_file("note", 25, 4);
    let upload = CreateFileRequest {
        file: FileInput::from_bytes("lot.jsonl".into(), input_file.into_bytes().into()),
        purpose: FilePurpose::Batch,
        expires_after: None,
    };
    let file = client(&fleet, "a1").files().create(upload).await.unwrap();
    let request = BatchRequest {
        input_file_id: file.id,
        endpoint: BatchEndpoint::V1ChatCompletions,
        completion_window: BatchCompletionWindow::W24H,
        metadata: None,
        output_expires_after: None,
    };
    let batch = client(&fleet, "a2")
        .batches()
        .create(request)
        .await
        .unwrap();
    fleet.wait_job_end(SCHOOL_KEY, &batch.id).await;
    let batch = client(&fleet, "a3")
        .batches()
        .retrieve(&batch.id)
        .await
        .unwrap();
    assert_eq!(batch.status, BatchStatus::Completed);
    let listed = client(&fleet, "a3").batches().list().await.unwrap();
    assert_eq!(listed.data.len(), 1);
    let output = batch.output_file_id.unwrap();
    let content = client(&fleet, "a1").files().content(&output).await.unwrap();
    let lines = content.split(|b| *b == b'\n').filter(|l| !l.is_empty());
    assert_eq!(lines.count(), 25);
}
