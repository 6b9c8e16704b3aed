__all__ = ['ttypes', 'constants', 'EndpointTunnel']
