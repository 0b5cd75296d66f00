//! Generates the gRPC service between controllers; its messages are plain Rust types.

fn main() {
    let deliver = tonic_build::manual::Method::builder()
        .name("deliver")
        .route_name("Deliver")
        .input_type("crate::mesh::Envelope")
        .output_type("crate::mesh::Receipt")
        .codec_path("crate::mesh::JsonCodec")
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
