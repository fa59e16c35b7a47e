//! Messages survive the way to bytes and back.

use mgs_schema::codec;
use mgs_schema::wire::envelope::Body;
use mgs_schema::wire::Dispatch;
use mgs_schema::wire::LoadReport;
use mgs_schema::wire::TokenFrame;
use rstest::rstest;

#[rstest]
#[case(Body::TokenFrame(TokenFrame { seq: 3, tokens: 1, text: "olive".into() }))]
#[case(Body::LoadReport(LoadReport {
    incarnation: u64::MAX,
    models: vec!["m".into()],
    models_known: true,
    cached_hashes: vec![1, 2],
    decode_step_ms: 0.5,
    ..LoadReport::default()
}))]
#[case(Body::Dispatch(Dispatch { body: vec![7; 100_000], ..Dispatch::default() }))]
fn round_trip(#[case] body: Body) {
    let bytes = codec::encode(body.clone()).unwrap();
    assert_eq!(codec::decode(&bytes).unwrap(), body);
}

#[test]
fn trailing_bytes_are_refused() {
    let mut bytes = codec::encode(Body::TokenFrame(TokenFrame::default())).unwrap();
    bytes.push(0);
    assert!(matches!(
        codec::decode(&bytes),
        Err(codec::Error::TrailingBytes(1))
    ));
}

#[test]
fn every_cut_of_a_message_is_refused() {
    let frame = TokenFrame {
        seq: 300,
        tokens: 1,
        text: "olive".into(),
    };
    let bytes = codec::encode(Body::TokenFrame(frame)).unwrap();
    for end in 0..bytes.len() {
        assert!(codec::decode(&bytes[..end]).is_err());
    }
}
