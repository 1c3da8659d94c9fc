export * from './gen/peer_pb.js';
