"""HTTP and datagrams for deployments whose back ends are called directly."""
