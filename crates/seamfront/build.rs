//! Generates the client and the server of the gRPC service between controllers. Its messages are
//! plain Rust types, so there is no `.proto` file.

fn main() {
    let deliver = tonic_build::manual::Method::builder()
        .name("deliver")
        .route_name("Deliver")
        .input_type("crate::peer_transport::Envelope")
        .output_type("crate::peer_transport::Receipt")
        .codec_path("crate::peer_transport::JsonCodec")
        .build();
    let service = tonic_build::manual::Service::builder()
        .name("Mesh")
        .package("seamfront")
        .method(deliver)
        .build();
    tonic_build::manual::Builder::new()
        .build_transport(false)
        .compile(&[service]);
}
