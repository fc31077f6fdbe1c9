# The store's side.
# What a store decides, without clock, disk or network.
shelflink_tier_library(shelflink_tier_batch_book job_book.cpp job_book_runs.cpp
  job_records.cpp job_table.cpp lease_table.cpp proxy_room.cpp run_queue.cpp)
target_link_libraries(shelflink_tier_batch_book PUBLIC shelflink_tier_batch_messages
  PRIVATE PkgConfig::GLIB)

shelflink_tier_library(shelflink_tier_store hosted_partition.cpp partition_server.cpp
  replica_frame.cpp replica_host.cpp store_disk.cpp store_service.cpp)
target_link_libraries(shelflink_tier_store PUBLIC shelflink_tier_batch_book shelflink_tier_replication
  shelflink_tier_storage shelflink_tier_transport)

# The process, with its part in the cluster.
if(EXISTS ${PROJECT_SOURCE_DIR}/src/tier/cluster/agent.cpp)
  target_sources(shelflink_tier_store PRIVATE store_node.cpp store_process.cpp store_program.cpp
    store_waiting.cpp)
  target_link_libraries(shelflink_tier_store PUBLIC shelflink_tier_cluster_agent shelflink_net_glib)
endif()
