/// @file
/// Messages between hosts as earlier landings write them.
#ifndef TESTS_SUPPORT_LANDINGS_SAMPLES_H_
#define TESTS_SUPPORT_LANDINGS_SAMPLES_H_

namespace comfreyvane::testing {

/// What write_samples.cc prints in a landing: a kind and its text a line.
inline const char* const kSamplesOfF57ed58 =
    R"SAMPLES(heartbeat {"host":"edge-1","incarnation":5,"sequence":7,"leaving":true,"use":[[1,2]],"suspects":[[5,6]],"wanted":[[7,8E0]],"given":[[9,1.25E-1]],"limits":[[3,1700000000000,2.4E0,350]],"asked":[[0,0]],"paths":[[0,0,120]],"delay_ms":3}
host {"name":"edge-1","region":"west","failure_domain":"west-a","caller_address":"10.0.0.1:80","peer_address":"10.0.0.1","peer_port":83,"processor_share":5E-1}
relay-call /changes?nonce=7&era=3&wait_ms=900&position=1&position=2&position=3
relay-answer [{"position":40,"rows":[]},{"position":41,"rows":[["c2VydmVyLTE=","e30=",41],["Z29uZQ==","",0]]},{"position":42,"rows":[]}]
mark {"origin":"edge-1","origin_incarnation":11,"sequence":7,"carrier":"edge-2","carrier_incarnation":22,"region":"west","service":10582576083400491425,"attempts":1}
mark-code 353155bde6aa6800c98f21fc2ce841cfdfdc56f911b702fc3eab8378d0ceeb25
verdict {"run":0,"reason":"queue-full","attempts":2,"retry_after_ms":150}
)SAMPLES";

inline const char* const kSamplesOf9837e8d =
    R"SAMPLES(heartbeat {"host":"edge-1","incarnation":5,"sequence":7,"leaving":true,"use":[[1,2]],"suspects":[[5,6]],"wanted":[[7,8E0]],"given":[[9,1.25E-1]],"limits":[[3,1700000000000,2.4E0,350]],"leaving_servers":[[4,1700000000001]],"asked":[[0,0]],"paths":[[0,0,120]],"delay_ms":3}
host {"name":"edge-1","region":"west","failure_domain":"west-a","caller_address":"10.0.0.1:80","peer_address":"10.0.0.1","peer_port":83,"processor_share":5E-1}
relay-call /changes?nonce=7&era=3&wait_ms=900&position=1&position=2&position=3
relay-answer [{"position":40,"rows":[]},{"position":41,"rows":[["c2VydmVyLTE=","e30=",41],["Z29uZQ==","",0]]},{"position":42,"rows":[]}]
mark {"origin":"edge-1","origin_incarnation":11,"sequence":7,"carrier":"edge-2","carrier_incarnation":22,"region":"west","service":10582576083400491425,"attempts":1}
mark-code 353155bde6aa6800c98f21fc2ce841cfdfdc56f911b702fc3eab8378d0ceeb25
verdict {"run":0,"reason":"queue-full","attempts":2,"retry_after_ms":150}
)SAMPLES";

inline const char* const kLandingSamples[] = {kSamplesOfF57ed58,
                                              kSamplesOf9837e8d};

}  // namespace comfreyvane::testing

#endif  // TESTS_SUPPORT_LANDINGS_SAMPLES_H_
