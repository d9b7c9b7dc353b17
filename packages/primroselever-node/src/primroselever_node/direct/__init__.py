"""HTTP and datagrams for deployments in which entries call back ends directly."""
